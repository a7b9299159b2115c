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

/** One request to a stand-in, with its answer. */
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

    /** Returns the HTTP method. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the path as it was sent, with its escapes. */
    public String rawPath() {
        return request.getHttpURI().getPath();
    }

    /** Returns the unescaped rest of the path after {@code prefix}, if the path starts with it. */
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

    /** Returns a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Reads the whole body of the request. */
    public byte[] body() throws IOException {
        try (InputStream content = Content.Source.asInputStream(request)) {
            return content.readAllBytes();
        }
    }

    /**
     * Reads the body as JSON.
     *
     * @throws IllegalArgumentException if it is not of the expected form
     */
    public <T> T json(Class<T> type) throws IOException {
        byte[] content = body();
        try {
            return StandinJson.mapper().readValue(content, type);
        } catch (IOException malformed) {
            throw new IllegalArgumentException("body is not a valid " + type.getSimpleName(), malformed);
        }
    }

    /** Sets a header of the answer. */
    public void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Answers with a JSON document. */
    public void respondJson(int status, Object content) throws IOException {
        setHeader(HttpHeader.CONTENT_TYPE.asString(), "application/json");
        respond(status, StandinJson.mapper().writeValueAsBytes(content));
    }

    /** Answers with bytes. */
    public void respond(int status, byte[] content) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    /** Answers without content. */
    public void respondEmpty(int status) {
        response.setStatus(status);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }

    /** Sends the head and the first half of {@code content}, then closes the connection. */
    public void respondTruncated(int status, byte[] content) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        Callback.Completable firstHalfWritten = new Callback.Completable();
        response.write(false, ByteBuffer.wrap(content, 0, content.length / 2), firstHalfWritten);
        firstHalfWritten.join();
        closeConnection();
    }

    /** Closes the connection without a further byte. */
    public void closeConnection() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("the fault switch closed the connection"));
    }
}
