package org.tamarackline.entry;

import java.util.Set;

import com.google.inject.Injector;
import com.google.inject.Key;
import com.google.inject.TypeLiteral;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jersey.DropwizardResourceConfig;
import io.dropwizard.lifecycle.Managed;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.server.ServerProperties;
import org.tamarackline.entry.operator.OperatorTokenFilter;

/** The Dropwizard application of an entry node: registers the resources and managed objects of all modules. */
final class EntryApplication extends Application<EntryConfiguration> {

    private final Injector injector;
    private final DropwizardResourceConfig operatorResources;

    EntryApplication(Injector injector, DropwizardResourceConfig operatorResources) {
        this.injector = injector;
        this.operatorResources = operatorResources;
    }

    @Override
    public String getName() {
        return "tamarackline";
    }

    /** Keeps the logging that {@link org.tamarackline.logging.JsonLogging} has set up. */
    @Override
    protected void bootstrapLogging() {
        // The default implementation would replace the log appender of the process.
    }

    @Override
    public void run(EntryConfiguration configuration, Environment environment) {
        ResourceConfig callerResources = environment.jersey().getResourceConfig();
        registerCommon(callerResources, HttpLimits.MAX_CALLER_BODY_BYTES);
        callerResources.register(new AdmissionFilter(injector.getInstance(Readiness.class)));
        callerResources.register(injector.getInstance(OutcomeCounter.class));
        resources(Key.get(new TypeLiteral<>() {}, CallerApi.class)).forEach(callerResources::register);

        registerCommon(operatorResources, HttpLimits.MAX_OPERATOR_BODY_BYTES);
        operatorResources.register(injector.getInstance(OperatorTokenFilter.class));
        resources(Key.get(new TypeLiteral<>() {}, OperatorApi.class)).forEach(operatorResources::register);

        Set<Managed> managedObjects = injector.getInstance(Key.get(new TypeLiteral<>() {}));
        managedObjects.forEach(environment.lifecycle()::manage);
    }

    private void registerCommon(ResourceConfig resources, long bodyLimitBytes) {
        resources.register(new BodyLimitFilter(bodyLimitBytes));
        resources.register(new UncaughtExceptionMapper());
        resources.register(injector.getInstance(HealthResource.class));
        resources.property(ServerProperties.RESPONSE_SET_STATUS_OVER_SEND_ERROR, true);
        resources.property(ServerProperties.WADL_FEATURE_DISABLE, true);
    }

    private Set<Object> resources(Key<Set<Object>> key) {
        return injector.getInstance(key);
    }
}
