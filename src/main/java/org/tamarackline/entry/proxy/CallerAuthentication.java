package org.tamarackline.entry.proxy;

import java.util.Map;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;

/** Finds the caller whose bearer token a request carries. */
@Singleton
public final class CallerAuthentication {

    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<CallerName, Secret> tokens;

    /** Creates the check from the node's settings. */
    @Inject
    public CallerAuthentication(EntrySettings settings) {
        this.tokens = settings.callerTokens();
    }

    /**
     * Returns the caller.
     *
     * @param authorization value of the header, null if absent
     * @throws RequestException if no caller has this token
     */
    public CallerName authenticate(String authorization) throws RequestException {
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            throw RequestException.notExecuted(
                    RequestErrorCode.UNAUTHENTICATED, "send the header \"Authorization: Bearer <caller token>\"");
        }
        String token = authorization.substring(BEARER_PREFIX.length()).strip();
        CallerName found = null;
        // Every token is compared, so that the time does not tell which caller a guess came close to.
        for (Map.Entry<CallerName, Secret> entry : tokens.entrySet()) {
            if (entry.getValue().matches(token)) {
                found = entry.getKey();
            }
        }
        if (found == null) {
            throw RequestException.notExecuted(
                    RequestErrorCode.UNAUTHENTICATED, "the bearer token belongs to no caller");
        }
        return found;
    }
}
