package org.tamarackline.load;

import java.util.UUID;

/**
 * Credentials of a local cluster, generated at random for each run.
 *
 * @param peerKey shared key of the nodes
 * @param operatorToken credential of operators
 * @param callerToken credential of the caller
 */
public record LocalCredentials(String peerKey, String operatorToken, String callerToken) {

    static LocalCredentials random() {
        return new LocalCredentials(
                UUID.randomUUID().toString(),
                UUID.randomUUID().toString(),
                UUID.randomUUID().toString());
    }

    @Override
    public String toString() {
        return "***";
    }
}
