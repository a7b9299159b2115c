package org.tamarackline.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One HTTP request to a stand-in and the response to it. */
public final class StandinExchange {

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Fields query;

    StandinExchange(Request request, Response response, Callback callback) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.query = Request.extractQueryParameters(request, StandardCharsets.UTF_8);
    }

    public String method() {
        return request.getMethod();
    }

    /** Returns the path as it was sent, percent-encoded. */
    public String rawPath() {
        return request.getHttpURI().getPath();
    }

    /** Returns the decoded part of the path after {@code prefix}, empty if the path does not start with it. */
    public Optional<String> pathAfter(String prefix) {
        String path = rawPath();
        if (!path.startsWith(prefix)) {
            return Optional.empty();
        }
        String encodedSuffix = path.substring(prefix.length()).replace("+", "%2B");
        return Optional.of(URLDecoder.decode(encodedSuffix, StandardCharsets.UTF_8));
    }

    /** Returns whether the request has this method and exactly this path. */
    public boolean matches(String expectedMethod, String expectedPath) {
        return method().equals(expectedMethod) && rawPath().equals(expectedPath);
    }

    /** Returns a query parameter, or {@code defaultValue} if it is absent. */
    public String query(String name, String defaultValue) {
        String value = query.getValue(name);
        return value == null ? defaultValue : value;
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Reads the whole request body. */
    public byte[] body() throws IOException {
        try (InputStream content = Content.Source.asInputStream(request)) {
            return content.readAllBytes();
        }
    }

    /**
     * Reads the request body as JSON.
     *
     * @throws IllegalArgumentException if the body cannot be decoded as {@code type}
     */
    public <T> T json(Class<T> type) throws IOException {
        byte[] content = body();
        try {
            return StandinJson.mapper().readValue(content, type);
        } catch (IOException malformed) {
            throw new IllegalArgumentException("body is not a valid " + type.getSimpleName(), malformed);
        }
    }

    /** Sets a response header. */
    public void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Responds with {@code content} as JSON. */
    public void respondJson(int status, Object content) throws IOException {
        setHeader(HttpHeader.CONTENT_TYPE.asString(), "application/json");
        respond(status, StandinJson.mapper().writeValueAsBytes(content));
    }

    /** Responds with {@code content} as the body. */
    public void respond(int status, byte[] content) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    /** Responds without a body. */
    public void respondEmpty(int status) {
        response.setStatus(status);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }

    /** Sends the response headers and the first half of {@code content}, then closes the connection. */
    public void respondTruncated(int status, byte[] content) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        Callback.Completable firstHalfWritten = new Callback.Completable();
        response.write(false, ByteBuffer.wrap(content, 0, content.length / 2), firstHalfWritten);
        firstHalfWritten.join();
        closeConnection();
    }

    /** Closes the connection without sending anything more. */
    public void closeConnection() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("connection closed by a fault switch"));
    }
}
