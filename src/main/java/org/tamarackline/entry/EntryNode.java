package org.tamarackline.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Key;
import com.google.inject.Module;
import com.google.inject.TypeLiteral;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.DropwizardResourceConfig;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.Server;
import org.tamarackline.settings.EntrySettings;

/** A running entry node: an HTTP server with one port for callers and one for operators, and the Guice injector behind it. */
public final class EntryNode {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Server server;
    private final Injector injector;
    private final EntrySettings settings;

    private EntryNode(Server server, Injector injector, EntrySettings settings) {
        this.server = server;
        this.injector = injector;
        this.settings = settings;
    }

    /**
     * Starts a node and returns once both ports accept connections.
     *
     * @param modules modules that {@link EntryModule} installs
     * @throws NodeStartException if an address is in use or a component of the node could not be started
     */
    public static EntryNode start(EntrySettings settings, List<Module> modules) throws NodeStartException {
        Injector injector = Guice.createInjector(new EntryModule(settings, modules));
        DropwizardResourceConfig operatorResources = new DropwizardResourceConfig();
        EntryServerFactory serverFactory = new EntryServerFactory(settings, operatorResources, operatorMapper());
        EntryConfiguration configuration = new EntryConfiguration(serverFactory);
        EntryApplication application = new EntryApplication(injector, operatorResources);
        Environment environment = new Environment(application.getName());
        application.run(configuration, environment);
        Server server = serverFactory.build(environment);
        startServer(server, settings);
        LOGGER.atInfo().log("node started");
        return new EntryNode(server, injector, settings);
    }

    /** Returns the port that callers connect to. */
    public int callerPort() {
        return port("application");
    }

    /** Returns the port that operators connect to. */
    public int operatorPort() {
        return port("admin");
    }

    /** Returns the injector that holds the node's components. */
    public Injector injector() {
        return injector;
    }

    /** Returns once the node has stopped. */
    public void awaitStopped() throws InterruptedException {
        server.join();
    }

    /** Runs the planned stop of {@link DrainSequence} and returns whether all of its steps finished in time. */
    public boolean drain() {
        Set<DrainStep> moduleSteps = injector.getInstance(Key.get(new TypeLiteral<Set<DrainStep>>() {}));
        List<DrainStep> steps = new ArrayList<>(moduleSteps);
        steps.add(new ServerStop(server));
        DrainSequence sequence = new DrainSequence(
                injector.getInstance(Readiness.class),
                settings.cluster().drainDelay(),
                settings.requests().requestLimit(),
                steps,
                Thread::sleep);
        try {
            boolean finished = sequence.run();
            LOGGER.atInfo().log("node stopped");
            return finished;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Stops the node without waiting for the load balancer; for tests and tools. */
    public void stop() {
        new ServerStop(server).drain(settings.requests().requestLimit());
    }

    private static void startServer(Server server, EntrySettings settings) throws NodeStartException {
        try {
            server.start();
        } catch (Exception e) {
            new ServerStop(server).drain(settings.requests().requestLimit());
            throw new NodeStartException("the node could not be started: " + e.getMessage(), e);
        }
    }

    /** Refuses unknown fields, because a misspelt field would otherwise silently get its default value. */
    private static ObjectMapper operatorMapper() {
        return Jackson.newObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    private int port(String connectorName) {
        for (Connector connector : server.getConnectors()) {
            if (connectorName.equals(connector.getName()) && connector instanceof NetworkConnector network) {
                return network.getLocalPort();
            }
        }
        throw new IllegalStateException("the server has no connector \"%s\"".formatted(connectorName));
    }
}
