package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;

/** Authenticates and validates callers' requests: bearer token, service, deadline and idempotency key. */
@Singleton
public final class RequestValidator {

    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final EntrySettings settings;
    private final CallerAuthentication authentication;
    private final Cluster cluster;
    private final MonotonicClock clock;

    /** Creates the validator. */
    @Inject
    public RequestValidator(
            EntrySettings settings, CallerAuthentication authentication, Cluster cluster, MonotonicClock clock) {
        this.settings = settings;
        this.authentication = authentication;
        this.cluster = cluster;
        this.clock = clock;
    }

    /**
     * Validates a request and determines its deadline and whether it is idempotent. Buffers its body as far as needed.
     *
     * @throws RequestException if the request is not valid or this node does not admit requests
     */
    public ValidatedRequest validate(IncomingRequest incoming) throws RequestException {
        long arrivedNanos = clock.nowNanos();
        CallerName caller =
                authentication.authenticate(incoming.header("Authorization").orElse(null));
        Configuration configuration = requireConfiguration();
        ServiceDefinition service = findService(configuration, incoming.service());
        Optional<Profile> profile = findProfile(configuration, service);
        Duration timeAllowed = timeAllowed(incoming, profile);
        boolean idempotent = IDEMPOTENT_METHODS.contains(incoming.method())
                || profile.map(Profile::idempotent).orElse(false);
        Optional<String> key = idempotent ? Optional.empty() : idempotencyKey(incoming);
        bufferBody(incoming.body(), key.isPresent());
        return new ValidatedRequest(
                service.name(),
                caller,
                new UpstreamRequest(
                        incoming.method(), incoming.target(), Headers.forUpstream(incoming.headers()), incoming.body()),
                arrivedNanos + timeAllowed.toNanos(),
                idempotent,
                key.map(value -> new IdempotencyKey(service.name(), caller, value)));
    }

    private Configuration requireConfiguration() throws RequestException {
        if (cluster.membershipStatus() == MembershipStatus.ISOLATED) {
            throw RequestException.notExecuted(
                    RequestErrorCode.NOT_READY, "this node lost contact with the platform and its peers");
        }
        return cluster.configuration()
                .orElseThrow(() -> RequestException.notExecuted(
                        RequestErrorCode.NOT_READY, "this node has not received a configuration yet"));
    }

    private static ServiceDefinition findService(Configuration configuration, String name) throws RequestException {
        for (ServiceDefinition service : configuration.services()) {
            if (service.name().value().equals(name)) {
                return service;
            }
        }
        throw RequestException.notExecuted(
                RequestErrorCode.UNKNOWN_SERVICE, "no service has this name; operators add services");
    }

    private static Optional<Profile> findProfile(Configuration configuration, ServiceDefinition service) {
        return configuration.profiles().stream()
                .filter(profile -> profile.name().equals(service.profile()))
                .findFirst();
    }

    private Duration timeAllowed(IncomingRequest incoming, Optional<Profile> profile) throws RequestException {
        Duration limit = settings.requests().requestLimit();
        long boundMs = profile.map(Profile::latencyBoundMs).orElse(0L);
        if (boundMs > 0) {
            limit = min(limit, Duration.ofMillis(boundMs));
        }
        Optional<String> header = incoming.header(Headers.DEADLINE_MS);
        return header.isEmpty() ? limit : min(limit, parseDeadline(header.get()));
    }

    private static Duration parseDeadline(String text) throws RequestException {
        try {
            long ms = Long.parseLong(text.strip());
            if (ms > 0) {
                return Duration.ofMillis(ms);
            }
        } catch (NumberFormatException e) {
            // Not a number: rejected below, like numbers out of range.
        }
        throw RequestException.notExecuted(
                RequestErrorCode.BAD_REQUEST,
                "%s must be a number of milliseconds, at least 1".formatted(Headers.DEADLINE_MS));
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private static Optional<String> idempotencyKey(IncomingRequest incoming) throws RequestException {
        Optional<String> key = incoming.header(Headers.IDEMPOTENCY_KEY);
        if (key.isPresent() && !Identifiers.isValid(key.get())) {
            throw RequestException.notExecuted(
                    RequestErrorCode.BAD_REQUEST,
                    "%s must have 1 to %d letters, digits, spaces or ._:-, starting with a letter or digit"
                            .formatted(Headers.IDEMPOTENCY_KEY, Identifiers.MAX_LENGTH));
        }
        return key;
    }

    /** Buffers a small body, or with an idempotency key the start of any body, which its digest covers. */
    private static void bufferBody(RequestBody body, boolean withKey) throws RequestException {
        try {
            if (withKey) {
                body.bufferPrefix();
            } else {
                body.bufferIfSmall();
            }
        } catch (IOException e) {
            throw RequestException.notExecuted(RequestErrorCode.BAD_REQUEST, "the request body could not be read");
        }
    }
}
