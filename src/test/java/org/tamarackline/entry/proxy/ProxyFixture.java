package org.tamarackline.entry.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.jersey.jackson.JacksonFeature;
import org.eclipse.jetty.ee10.servlet.ServletContextHandler;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.server.ServerProperties;
import org.glassfish.jersey.servlet.ServletContainer;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceClass;
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.core.usage.AttemptOutcome;
import org.tamarackline.entry.FakeCluster;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;
import org.tamarackline.store.FakePlatform;

/** The request path of one node behind a real HTTP server, with fakes of the cluster, the platform and the peers. */
final class ProxyFixture implements Closeable {

    static final ServiceName QUOTES = new ServiceName("quotes");
    static final ShardId GROUP = new ShardId("group:quotes:a:0");
    static final NodeId SELF = new NodeId("127.0.0.1:7400");
    static final DataCentre DATA_CENTRE = new DataCentre("a");
    static final CallerName CALLER = new CallerName("lianhua");
    private static final PeerCaller NO_PEERS = (node, request, timeout) -> {
        throw new PeerException(PeerException.Reason.UNREACHABLE, "no peers in this test", null);
    };
    private static final Profile UNBOUNDED = new Profile(
            new ProfileName("unbounded"), ServiceClass.LATENCY_CRITICAL, 0, 800, 100, false, false, 0, 0, 80, 10, 10);
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(10);
    private static final String TOKEN = "token-of-lianhua";

    final List<VmRecord> vms = new ArrayList<>();
    final FakeCluster cluster;
    final SlotPeerHandler peerHandler;
    final FakePlatform platform;
    final RequestsInFlight inFlight = new RequestsInFlight();
    final RunnerDirectory directory;
    final SlotBroker broker;
    final UpstreamClient upstreamClient;
    final GroupOwnershipListener ownership;
    private final Server server;
    private final HttpClient callerClient = HttpClient.newHttpClient();

    ProxyFixture(NodeId self, PeerCaller peers, FakePlatform platform) throws Exception {
        this(self, peers, platform, limits(), BuiltInProfiles.QUICK_ANSWER);
    }

    private ProxyFixture(
            NodeId self, PeerCaller peers, FakePlatform platform, EntrySettings.RequestLimits limits, Profile profile)
            throws Exception {
        this.platform = platform;
        cluster = new FakeCluster(self);
        EntrySettings settings = settings(limits);
        MonotonicClock clock = MonotonicClock.system();
        cluster.setConfiguration(java.util.Optional.of(new Configuration(
                1,
                List.of(profile),
                List.of(),
                List.of(new ServiceDefinition(QUOTES, profile.name(), new TeamName("lianhua"))),
                Set.of())));
        directory = new RunnerDirectory(() -> List.copyOf(vms), settings, cluster, clock);
        SlotPeerClient peerClient = new SlotPeerClient(cluster, peers, clock, settings);
        ServiceStatistics statistics = new ServiceStatistics(settings);
        SlotAllocator allocator = new SlotAllocator(cluster, directory, clock, settings, peerClient, statistics);
        RunnerGroups groups = new RunnerGroups(cluster, directory, allocator);
        broker = new SlotBroker(cluster, directory, clock, allocator, groups, peerClient, statistics);
        upstreamClient = new UpstreamClient(settings, clock);
        ownership = new GroupOwnershipListener(groups);
        peerHandler = new SlotPeerHandler(broker);
        RequestRouter router = new RequestRouter(
                cluster,
                broker,
                directory,
                upstreamClient,
                new IdempotencyStore(platform, cluster, settings, clock),
                new RequestMeter(cluster, (service, team, durationMs, outcome) -> recordedOutcomes.add(outcome), clock),
                clock);
        RequestValidator validator = new RequestValidator(settings, new CallerAuthentication(settings), cluster, clock);
        server = serve(new ProxyResource(validator, router, inFlight));
    }

    /** Outcomes that were reported to the usage accounting. */
    final List<AttemptOutcome> recordedOutcomes = new CopyOnWriteArrayList<>();

    static EntrySettings.RequestLimits limits() {
        return limits(Duration.ofSeconds(3));
    }

    private static EntrySettings.RequestLimits limits(Duration requestLimit) {
        return new EntrySettings.RequestLimits(requestLimit, 16, 1, 10, Duration.ofMillis(500));
    }

    static ProxyFixture withRunners(ScriptedUpstream... runners) throws Exception {
        return withRunners(new ProxyFixture(SELF, NO_PEERS, new FakePlatform()), runners);
    }

    /** Returns a fixture whose requests reach no deadline, for tests that a slow machine must not fail. */
    static ProxyFixture withoutDeadline(ScriptedUpstream... runners) throws Exception {
        return withRunners(withoutDeadline(SELF, NO_PEERS, new FakePlatform()), runners);
    }

    static ProxyFixture withoutDeadline(NodeId self, PeerCaller peers, FakePlatform platform) throws Exception {
        return new ProxyFixture(self, peers, platform, limits(Duration.ofDays(1)), UNBOUNDED);
    }

    private static ProxyFixture withRunners(ProxyFixture fixture, ScriptedUpstream... runners) {
        for (ScriptedUpstream runner : runners) {
            fixture.addRunner("r" + fixture.vms.size(), runner.address(), 2);
        }
        fixture.acquireGroup();
        return fixture;
    }

    void addRunner(String id, String address, int slots) {
        vms.add(new VmRecord(
                id,
                QUOTES.value(),
                address,
                DATA_CENTRE,
                "rack",
                VmRecord.State.LIVE,
                slots,
                64,
                new Resources(1, 1, 0)));
    }

    void acquireGroup() {
        cluster.acquire(GROUP, new Epoch(1));
        directory.refresh();
        ownership.acquired(GROUP, new Epoch(1), OwnershipListener.Origin.FIRST, java.util.Optional.empty());
    }

    static EntrySettings settings(EntrySettings.RequestLimits limits) {
        return new EntrySettings(
                SELF,
                new Region("tw"),
                DATA_CENTRE,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "http://127.0.0.1:1",
                List.of(),
                new Secret("peer-key"),
                new Secret("operator"),
                Map.of(CALLER, new Secret(TOKEN)),
                EntrySettings.ClusterTimes.defaults(),
                limits,
                EntrySettings.JobLimits.defaults());
    }

    private static Server serve(ProxyResource resource) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server jetty = new Server(threads);
        ServerConnector connector = new ServerConnector(jetty);
        connector.setHost("127.0.0.1");
        jetty.addConnector(connector);
        ResourceConfig jersey = new ResourceConfig()
                .register(resource)
                .register(new JacksonFeature(new ObjectMapper()))
                .property(ServerProperties.WADL_FEATURE_DISABLE, true);
        ServletContextHandler context = new ServletContextHandler();
        context.addServlet(new ServletHolder(new ServletContainer(jersey)), "/*");
        jetty.setHandler(context);
        jetty.start();
        return jetty;
    }

    int port() {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port());
    }

    HttpRequest.Builder request(String path) {
        return requestOf("quotes", path);
    }

    HttpRequest.Builder requestOf(String service, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + "/services/" + service + path))
                .header("Authorization", "Bearer " + TOKEN);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return callerClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return callerClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    String authorizationLine() {
        return "Authorization: Bearer " + TOKEN + "\r\n";
    }

    /** Waits until the condition holds. No step of these tests takes nearly as long as the limit of 10 s. */
    static void await(Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + STEP_TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError("condition did not hold within 10 s");
            }
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
        upstreamClient.close();
    }
}
