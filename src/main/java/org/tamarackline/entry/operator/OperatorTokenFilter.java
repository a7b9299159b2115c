package org.tamarackline.entry.operator;

import com.google.inject.Inject;
import jakarta.annotation.Priority;
import jakarta.ws.rs.Priorities;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.container.PreMatching;
import jakarta.ws.rs.core.HttpHeaders;
import org.tamarackline.entry.ErrorCode;
import org.tamarackline.entry.ErrorResponse;
import org.tamarackline.entry.Executed;
import org.tamarackline.entry.HealthResource;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;

/** Requires the operators' bearer token on every path except the health checks, also on paths that do not exist. */
@PreMatching
@Priority(Priorities.AUTHENTICATION)
public final class OperatorTokenFilter implements ContainerRequestFilter {

    private static final String BEARER_PREFIX = "Bearer ";

    private final Secret token;

    @Inject
    public OperatorTokenFilter(EntrySettings settings) {
        this.token = settings.operatorToken();
    }

    @Override
    public void filter(ContainerRequestContext request) {
        if (HealthResource.isHealthPath(request.getUriInfo().getPath())) {
            return;
        }
        String credential = request.getHeaderString(HttpHeaders.AUTHORIZATION);
        boolean accepted = credential != null
                && credential.startsWith(BEARER_PREFIX)
                && token.matches(credential.substring(BEARER_PREFIX.length()));
        if (!accepted) {
            String detail = "send the operators' token as \"Authorization: Bearer ...\"";
            request.abortWith(new ErrorResponse(ErrorCode.UNAUTHORIZED, detail, Executed.NO).toResponse());
        }
    }
}
