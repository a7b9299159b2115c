package org.tamarackline.entry.proxy;

import java.util.Map;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;

/** Authenticates callers by the bearer token of their requests. */
@Singleton
public final class CallerAuthentication {

    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<CallerName, Secret> tokens;

    /** Creates an authentication with the callers' tokens from the settings. */
    @Inject
    public CallerAuthentication(EntrySettings settings) {
        this.tokens = settings.callerTokens();
    }

    /**
     * Returns the caller that the token belongs to.
     *
     * @param authorization value of the {@code Authorization} header, null if absent
     * @throws RequestException if no caller has this token
     */
    public CallerName authenticate(String authorization) throws RequestException {
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            throw RequestException.notExecuted(
                    RequestErrorCode.UNAUTHENTICATED,
                    "the header \"Authorization: Bearer <caller token>\" is required");
        }
        String token = authorization.substring(BEARER_PREFIX.length()).strip();
        CallerName found = null;
        // Compares all tokens, so that the response time does not reveal which caller a guessed token is close to.
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
