package tinford.program;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Random;
import tinford.api.AttemptLimits;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.routing.admin.AdminApi;
import tinford.routing.catalog.Catalog;
import tinford.routing.client.ClientLimits;
import tinford.routing.client.ClientPool;
import tinford.routing.counter.CounterClient;
import tinford.routing.discovery.DiscoveryWatch;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.peer.PeerMessenger;
import tinford.routing.upstream.ServerPool;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;
import tinford.transport.DescriptorBudget;
import tinford.transport.HandoverLock;

/** The parts of one gateway, made from its configuration and connected with one another. */
final class GatewayComponents {
    private static final System.Logger LOG = System.getLogger("tinford.program");

    /** Several, so that one that hangs delays only a part of the calls. */
    private static final int COUNTER_CONNECTIONS = 4;

    private final ProcessConfiguration configuration;
    private final JsonFields settings;
    private final ResourceBudgets budgets;
    private final double connectTimeoutMs;
    private final double idleTimeoutMs;
    final RequestDispatcher dispatcher;
    final ServerPool servers;
    final ClientPool clients;

    /** Null when the settings have no shared counter. */
    final CounterClient counter;

    final DiscoveryWatch watch;

    /** Null when the configuration has no management address. */
    final AdminApi adminApi;

    final Handover handover;

    /**
     * @param sharedFolder for what two processes of this gateway share; null or empty for none
     * @param hasFleetExtension then that sends the messages between gateways
     */
    GatewayComponents(
            ProcessConfiguration configuration,
            JsonFactory json,
            DecisionModule.Factory moduleFactory,
            String sharedFolder,
            boolean hasFleetExtension)
            throws IOException {
        this.configuration = configuration;
        this.settings = configuration.settings();
        AttemptLimits limits = SettingsReader.attemptLimits(settings);
        budgets = ResourceBudgets.of(configuration, Runtime.getRuntime().maxMemory());
        dispatcher = createDispatcher(moduleFactory, limits);
        connectTimeoutMs = SettingsReader.connectTimeoutMs(settings);
        idleTimeoutMs = SettingsReader.idleTimeoutMs(settings);
        servers = createServerPool();
        clients = createClientPool();
        counter = createCounter();
        watch = createWatch(json);
        PeerMessenger peers =
                limits.gossipAllowed() && !hasFleetExtension ? createPeerMessenger() : null;
        dispatcher.attach(clients, servers, counter, watch, peers);
        HandoverLock lock = configuration.hasAdminApi() ? openLock(sharedFolder) : null;
        adminApi = configuration.hasAdminApi() ? createAdminApi(lock) : null;
        handover =
                new Handover(
                        dispatcher,
                        clients,
                        adminApi,
                        lock,
                        configuration.address("listen"),
                        budgets.reservedForOtherProcess());
    }

    private RequestDispatcher createDispatcher(
            DecisionModule.Factory moduleFactory, AttemptLimits limits) throws IOException {
        DecisionModule module =
                SettingsReader.createModule(moduleFactory, configuration.seed(), settings);
        return new RequestDispatcher(
                module, limits.maxAttempts(), budgets.connections(), budgets.memoryBytes());
    }

    private ServerPool createServerPool() {
        return new ServerPool(
                dispatcher,
                dispatcher,
                connectTimeoutMs,
                idleTimeoutMs,
                budgets.connections(),
                ProcessConfiguration.loadReportFields(settings));
    }

    private ClientPool createClientPool() {
        Catalog catalog =
                new Catalog(
                        SettingsReader.requestClasses(settings), SettingsReader.plans(settings));
        ClientLimits limits =
                new ClientLimits(
                        SettingsReader.gatewayIdentity(settings).gatewayCount(),
                        SettingsReader.maxRequestUnits(settings),
                        idleTimeoutMs,
                        SettingsReader.maxOpenRequests(settings),
                        dispatcher
                                .loop()
                                .descriptorBudget()
                                .limit(DescriptorBudget.PeerKind.CLIENTS),
                        budgets.idleClientThreshold());
        return new ClientPool(dispatcher, catalog, limits);
    }

    private CounterClient createCounter() {
        CounterSettings counterSettings = SettingsReader.counterSettings(settings);
        if (!counterSettings.present()) {
            return null;
        }
        return new CounterClient(
                dispatcher,
                configuration.address("counter"),
                connectTimeoutMs,
                counterSettings.timeoutMs(),
                COUNTER_CONNECTIONS);
    }

    private DiscoveryWatch createWatch(JsonFactory json) {
        JsonFields endpointList = configuration.endpointList();
        return new DiscoveryWatch(
                dispatcher,
                configuration.address("discovery"),
                connectTimeoutMs,
                servers::updateEndpoints,
                json,
                endpointList.integer("seq", 0),
                new Random(configuration.seed()));
    }

    private PeerMessenger createPeerMessenger() throws IOException {
        return new PeerMessenger(
                dispatcher,
                configuration.address("peer_listen"),
                configuration.addresses("peers"),
                configuration.address("peers_all"));
    }

    /** Null where there is no usable folder: this process is then the gateway's only one. */
    private HandoverLock openLock(String sharedFolder) {
        String gatewayName = configuration.gatewayName();
        if (sharedFolder == null || sharedFolder.isEmpty()) {
            return null;
        }
        try {
            return new HandoverLock(Path.of(sharedFolder), gatewayName);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "handover not available folder=" + sharedFolder + " error=" + e);
            return null;
        }
    }

    private AdminApi createAdminApi(HandoverLock lock) {
        return new AdminApi(
                dispatcher,
                servers,
                lock == null ? null : new FileHandoverLog(lock),
                budgets.adminConnections());
    }
}
