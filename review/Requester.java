import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Stand-in for a requester. */
final class Requester {

    private static final Duration TIME_LIMIT = Duration.ofMillis(3_000);

    /**
     * Answer to a request.
     *
     * @param status status, 0 for none within the time limit
     */
    record Answer(int status, String body) {}

    private final Recorder recorder;
    private final List<String> nodes;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Requester(Recorder recorder, List<String> nodes) {
        this.recorder = recorder;
        this.nodes = nodes;
    }

    Answer send(int node, String method, String host, String path, JsonNode body) throws InterruptedException {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body.toString());
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + nodes.get(node) + path))
                .timeout(TIME_LIMIT)
                .header("Host", host)
                .header("Content-Type", "application/json")
                .header("Deadline-Ms", Long.toString(TIME_LIMIT.toMillis()))
                .method(method, publisher)
                .build();
        Answer answer;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException unanswered) {
            answer = new Answer(0, unanswered.toString());
        }
        recorder.line("requester: %s %s at node %d -> %d %s", method, path, node, answer.status(), answer.body());
        return answer;
    }

    /** Submits a job, at one node after the other, until one accepts it; returns whether one has. */
    boolean submit(String host, String path, JsonNode body) throws InterruptedException {
        for (int attempt = 0; attempt < 20; attempt++) {
            if (send(attempt % nodes.size(), "POST", host, path, body).status() == 200) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    /** Returns the state that is shown for a job; the status if there is none. */
    String state(int node, String host, String path) throws InterruptedException {
        Answer answer = send(node, "GET", host, path, null);
        try {
            return answer.status() == 200
                    ? Http.JSON.readTree(answer.body()).path("state").asText()
                    : "status " + answer.status();
        } catch (IOException malformed) {
            return "malformed";
        }
    }
}
