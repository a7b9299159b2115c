package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import org.tamarackline.entry.Executed;

/**
 * JAX-RS resource for {@code /services/{service}/{path}}, which forwards requests of any method to a runner of the service.
 *
 * <p>Each request blocks its thread, so the server should use virtual threads.
 */
@Singleton
@Path("/services/{service}{path: (/.*)?}")
public final class ProxyResource {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RequestValidator validator;
    private final RequestRouter router;
    private final RequestsInFlight inFlight;

    /** Creates the resource. */
    @Inject
    public ProxyResource(RequestValidator validator, RequestRouter router, RequestsInFlight inFlight) {
        this.validator = validator;
        this.router = router;
        this.inFlight = inFlight;
    }

    /** Forwards a GET request. */
    @GET
    public Response get(@PathParam("service") String service, @Context HttpServletRequest servletRequest) {
        return handle(service, servletRequest, bodyOf(servletRequest));
    }

    /** Forwards a HEAD request. */
    @HEAD
    public Response head(@PathParam("service") String service, @Context HttpServletRequest servletRequest) {
        return handle(service, servletRequest, bodyOf(servletRequest));
    }

    /** Forwards an OPTIONS request. */
    @OPTIONS
    public Response options(@PathParam("service") String service, @Context HttpServletRequest servletRequest) {
        return handle(service, servletRequest, bodyOf(servletRequest));
    }

    /** Forwards a POST request. */
    @POST
    public Response post(
            @PathParam("service") String service, @Context HttpServletRequest servletRequest, InputStream body) {
        return handle(service, servletRequest, body);
    }

    /** Forwards a PUT request. */
    @PUT
    public Response put(
            @PathParam("service") String service, @Context HttpServletRequest servletRequest, InputStream body) {
        return handle(service, servletRequest, body);
    }

    /** Forwards a PATCH request. */
    @PATCH
    public Response patch(
            @PathParam("service") String service, @Context HttpServletRequest servletRequest, InputStream body) {
        return handle(service, servletRequest, body);
    }

    /** Forwards a DELETE request. */
    @DELETE
    public Response delete(
            @PathParam("service") String service, @Context HttpServletRequest servletRequest, InputStream body) {
        return handle(service, servletRequest, body);
    }

    private Response handle(String service, HttpServletRequest servletRequest, InputStream body) {
        inFlight.begin();
        boolean streaming = false;
        try {
            IncomingRequest incoming = new IncomingRequest(
                    service,
                    servletRequest.getMethod(),
                    targetOf(servletRequest),
                    headersOf(servletRequest),
                    new RequestBody(body, bodyLength(servletRequest)));
            RoutedResponse routed = router.route(validator.validate(incoming));
            Response response = toResponse(routed, new CallerConnection(servletRequest));
            streaming = true;
            return response;
        } catch (RequestException e) {
            return toErrorResponse(e);
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("handling a request failed with an internal error");
            return toErrorResponse(new RequestException(
                    RequestErrorCode.INTERNAL, Executed.UNKNOWN, "internal error of the node; see its log"));
        } finally {
            if (!streaming) {
                inFlight.end();
            }
        }
    }

    /** Returns whether the path contains a segment {@code .} or {@code ..}, which a runner could resolve differently. */
    private static boolean hasDotSegment(String uri) {
        for (String segment : uri.split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return false;
    }

    private Response toResponse(RoutedResponse routed, CallerConnection connection) {
        Response.ResponseBuilder builder = Response.status(routed.status());
        for (HeaderField field : Headers.forCaller(routed.headers())) {
            builder.header(field.name(), field.value());
        }
        builder.header(Executed.HEADER, routed.executed().text());
        builder.entity((StreamingOutput) output -> {
            try {
                routed.writeTo(output);
            } catch (IOException e) {
                // Ending the response normally would make the caller take a partial body for the whole.
                connection.abort();
            } finally {
                inFlight.end();
            }
        });
        return builder.build();
    }

    private static Response toErrorResponse(RequestException e) {
        return Response.status(e.code().status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(Executed.HEADER, e.executed().text())
                .entity(new ErrorBody(e.code(), e.getMessage(), e.executed()))
                .build();
    }

    /** Returns the raw path after the service's name, and the raw query. */
    private static String targetOf(HttpServletRequest request) throws RequestException {
        String uri = request.getRequestURI();
        if (hasDotSegment(uri)) {
            throw RequestException.notExecuted(
                    RequestErrorCode.BAD_REQUEST, "the path must not contain the segments . or ..");
        }
        int serviceStart = uri.indexOf("/services/") + "/services/".length();
        int pathStart = uri.indexOf('/', serviceStart);
        String path = pathStart < 0 ? "/" : uri.substring(pathStart);
        return request.getQueryString() == null ? path : path + "?" + request.getQueryString();
    }

    private static List<HeaderField> headersOf(HttpServletRequest request) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : Collections.list(request.getHeaderNames())) {
            for (String value : Collections.list(request.getHeaders(name))) {
                fields.add(new HeaderField(name, value));
            }
        }
        return fields;
    }

    /** Jersey injects no entity for methods that usually have no body; a body that is present is forwarded nevertheless. */
    private static InputStream bodyOf(HttpServletRequest request) {
        try {
            return request.getInputStream();
        } catch (IOException e) {
            return InputStream.nullInputStream();
        }
    }

    private static long bodyLength(HttpServletRequest request) {
        if (request.getContentLengthLong() >= 0) {
            return request.getContentLengthLong();
        }
        boolean chunked =
                Optional.ofNullable(request.getHeader("Transfer-Encoding")).isPresent();
        return chunked ? RequestBody.UNKNOWN_LENGTH : 0;
    }
}
