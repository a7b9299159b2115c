package org.tamarackline.load;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.tamarackline.standin.StandinJson;

/** HTTP client for JSON requests to processes of a local cluster. */
public final class JsonHttpClient implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int FIRST_ERROR_STATUS = 300;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

    /**
     * A response.
     *
     * @param status HTTP status
     * @param body content, a missing node if it is not JSON
     */
    public record JsonResponse(int status, JsonNode body) {

        /** Returns whether the status reports success. */
        public boolean isSuccess() {
            return status < FIRST_ERROR_STATUS;
        }
    }

    /**
     * Sends a request.
     *
     * @param token bearer token
     * @param body value to send as JSON; no body if empty
     * @throws IOException if no response arrived
     */
    public JsonResponse send(String method, String url, Optional<String> token, Optional<?> body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT);
        token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
        if (body.isPresent()) {
            byte[] content = StandinJson.mapper().writeValueAsBytes(body.get());
            request.header("Content-Type", "application/json");
            request.method(method, HttpRequest.BodyPublishers.ofByteArray(content));
        } else {
            request.method(method, HttpRequest.BodyPublishers.noBody());
        }
        HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new JsonResponse(response.statusCode(), parse(response.body()));
    }

    /**
     * Reads a JSON document without a credential.
     *
     * @throws IOException if it could not be read
     */
    public <T> T getJson(String url, Class<T> type) throws IOException, InterruptedException {
        JsonResponse response = send("GET", url, Optional.empty(), Optional.empty());
        if (!response.isSuccess()) {
            throw new IOException("GET %s returned status %d".formatted(url, response.status()));
        }
        return StandinJson.mapper().treeToValue(response.body(), type);
    }

    /**
     * Reads a document as text.
     *
     * @param token bearer token
     * @throws IOException if it could not be read
     */
    public String getText(String url, Optional<String> token) throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT);
        token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
        HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != HttpURLConnection.HTTP_OK) {
            throw new IOException("GET %s returned status %d".formatted(url, response.statusCode()));
        }
        return response.body();
    }

    /**
     * Writes a JSON document without a credential.
     *
     * @throws IOException if it was not accepted
     */
    public void putJson(String url, Object body) throws IOException, InterruptedException {
        JsonResponse response = send("PUT", url, Optional.empty(), Optional.of(body));
        if (!response.isSuccess()) {
            throw new IOException("PUT %s returned status %d".formatted(url, response.status()));
        }
    }

    @Override
    public void close() {
        client.shutdownNow();
    }

    private static JsonNode parse(byte[] content) {
        try {
            return StandinJson.mapper().readTree(content);
        } catch (IOException notJson) {
            return MissingNode.getInstance();
        }
    }
}
