package org.tamarackline.entry;

import java.time.Duration;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheckRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.AdminEnvironment;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jersey.DropwizardResourceConfig;
import io.dropwizard.jersey.jackson.JacksonFeature;
import io.dropwizard.jersey.setup.JerseyServletContainer;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.jetty.MutableServletContextHandler;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.tamarackline.settings.Addresses;
import org.tamarackline.settings.EntrySettings;

/**
 * Builds one Jetty server with two connectors, one for the callers' resources and one for the operators'.
 *
 * <p>The operators' connector serves Jersey resources instead of Dropwizard's admin servlet, because the tasks of that
 * servlet require no credential.
 */
final class EntryServerFactory extends DefaultServerFactory {

    /** Time beyond the request limit that Jetty waits for requests in flight when it stops. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofSeconds(1);

    private final DropwizardResourceConfig operatorResources;
    private final ObjectMapper operatorMapper;

    EntryServerFactory(
            EntrySettings settings, DropwizardResourceConfig operatorResources, ObjectMapper operatorMapper) {
        this.operatorResources = operatorResources;
        this.operatorMapper = operatorMapper;
        setApplicationConnectors(List.of(connector(settings.callerAddress())));
        setAdminConnectors(List.of(connector(settings.operatorAddress())));
        setRegisterDefaultExceptionMappers(false);
        setMaxThreads(HttpLimits.MAX_THREADS);
        setAdminMaxThreads(HttpLimits.MAX_THREADS);
        setEnableVirtualThreads(true);
        setEnableAdminVirtualThreads(true);
        setEnableThreadNameFilter(false);
        Duration shutdownTimeout = settings.requests().requestLimit().plus(SHUTDOWN_MARGIN);
        setShutdownGracePeriod(io.dropwizard.util.Duration.milliseconds(shutdownTimeout.toMillis()));
        disableGzip();
        disableRequestLog();
    }

    @Override
    public Server build(Environment environment) {
        Server server = super.build(environment);
        // DrainSequence stops the server; Jetty's shutdown hook would stop it before the load balancer has reacted.
        server.setStopAtShutdown(false);
        server.setErrorHandler(new JsonErrorHandler());
        environment.getApplicationContext().setErrorHandler(new JsonErrorHandler());
        return server;
    }

    @Override
    protected Handler createAdminServlet(
            Server server,
            MutableServletContextHandler handler,
            MetricRegistry metrics,
            HealthCheckRegistry healthChecks,
            AdminEnvironment admin) {
        operatorResources.register(new JacksonFeature(operatorMapper));
        MutableServletContextHandler operatorContext = new MutableServletContextHandler();
        operatorContext.setServer(server);
        operatorContext.setContextPath("/");
        operatorContext.setErrorHandler(new JsonErrorHandler());
        operatorContext.addServlet(new ServletHolder("operators", new JerseyServletContainer(operatorResources)), "/*");
        return operatorContext;
    }

    private static ConnectorFactory connector(String address) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(Addresses.host(address));
        connector.setPort(Addresses.port(address));
        connector.setMaxRequestHeaderSize(HttpLimits.MAX_HEADER_SIZE);
        connector.setIdleTimeout(HttpLimits.IDLE_TIMEOUT);
        connector.setAcceptQueueSize(HttpLimits.ACCEPT_QUEUE_LENGTH);
        connector.setUseServerHeader(false);
        return connector;
    }

    /** Disables compression, so that callers receive exactly the bytes that the upstream sent. */
    private void disableGzip() {
        GzipHandlerFactory gzip = new GzipHandlerFactory();
        gzip.setEnabled(false);
        setGzipFilterFactory(gzip);
    }

    private void disableRequestLog() {
        LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
        requestLog.setAppenders(List.of());
        setRequestLogFactory(requestLog);
    }
}
