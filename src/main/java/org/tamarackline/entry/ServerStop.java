package org.tamarackline.entry;

import java.time.Duration;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.server.Server;

/**
 * Ends the requests in flight, then closes the ports and stops the managed objects of all modules. The time is limited by
 * the server's shutdown grace period, which {@link EntryServerFactory} sets, and not by the timeout of the step.
 */
final class ServerStop implements DrainStep {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Server server;

    ServerStop(Server server) {
        this.server = server;
    }

    @Override
    public String name() {
        return "end of requests in flight";
    }

    @Override
    public boolean drain(Duration timeout) {
        try {
            server.stop();
            return true;
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("the HTTP server could not be stopped cleanly");
            return false;
        }
    }
}
