package org.tamarackline.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Option;

/** A command that sends requests to the operator port of a running node. */
abstract class OperatorCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern TOKEN_PATTERN = Pattern.compile("[!-~]+");

    @Option(name = "--node", metaVar = "URL", usage = "operators' URL of a node, as http://IP:PORT", required = true)
    private String nodeUrl;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage = "file with the operators' token, readable by you only",
            required = true)
    private Path tokenFile;

    @Override
    public final int run() throws Exception {
        return run(new NodeClient(validatedNodeUrl(), readToken()));
    }

    /** Runs the command with a client for the node. */
    abstract int run(NodeClient client) throws Exception;

    /** Prints a response of the node as indented JSON. */
    static void print(JsonNode response) throws JsonProcessingException {
        System.out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(response));
    }

    private String validatedNodeUrl() throws UsageException {
        if (!nodeUrl.matches("https?://[^/?#\\s]+/?")) {
            throw new UsageException("--node \"%s\" is not a URL such as http://10.0.0.5:8081".formatted(nodeUrl));
        }
        return nodeUrl.endsWith("/") ? nodeUrl.substring(0, nodeUrl.length() - 1) : nodeUrl;
    }

    /** Refuses characters that a header must not contain, because the HTTP client would quote the token in its error. */
    private String readToken() throws UsageException {
        try {
            String token = Files.readString(tokenFile).strip();
            if (TOKEN_PATTERN.matcher(token).matches()) {
                return token;
            }
        } catch (IOException e) {
            throw new UsageException("--token-file \"%s\" cannot be read".formatted(tokenFile));
        }
        throw new UsageException(
                "--token-file \"%s\" must hold one line of printable ASCII characters".formatted(tokenFile));
    }
}
