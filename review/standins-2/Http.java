import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls of requesters and of the platform. */
final class Http {

    /** A response; status 0 if there was none. */
    record Answer(int status, String body) {}

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    private Http() {}

    static Answer send(String method, String address, String host, String path, String body, int timeoutMs) {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofMillis(timeoutMs))
                    .header("Host", host)
                    .header("Content-Type", "application/json")
                    .header("Deadline-Ms", Integer.toString(timeoutMs))
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
            HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (Exception failure) {
            return new Answer(0, failure.toString());
        }
    }
}
