package tinford.program;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;
import tinford.transport.EventLoop;

/**
 * Starts a gateway's components on the I/O thread: joins the fleet, takes over the known endpoint
 * list, connects to the counter, and listens for clients once discovery has sent a first list or is
 * not waited for any longer.
 */
final class StartSequence {
    /** Discovery answers at once; when it is down, the known list has to do. */
    private static final double FIRST_LIST_TIMEOUT_MS = 400;

    private final ProcessConfiguration configuration;
    private final GatewayComponents components;
    private final FleetExtension extension;
    private final EventLoop loop;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile IOException ioFailure;
    private volatile InvalidSettingsException invalidSettings;

    /**
     * @param extension or null
     */
    StartSequence(
            ProcessConfiguration configuration,
            GatewayComponents components,
            FleetExtension extension) {
        this.configuration = configuration;
        this.components = components;
        this.extension = extension;
        this.loop = components.dispatcher.loop();
    }

    void begin() {
        loop.execute(this::run);
    }

    /**
     * Waits until the process listens for clients, or stands by for another process. After a
     * failure the event loop is closed.
     */
    void await() throws IOException {
        try {
            ended.await();
        } catch (InterruptedException e) {
            throw new IOException("the start was cut short", e);
        }
        if (invalidSettings != null) {
            loop.close();
            throw invalidSettings;
        }
        if (ioFailure != null) {
            loop.close();
            throw ioFailure;
        }
    }

    private void run() {
        components.dispatcher.start();
        if (components.adminApi != null) {
            components.adminApi.start();
        }
        try {
            if (extension != null) {
                joinFleet();
            }
            if (configuration.hasEndpointList()) {
                components.servers.updateEndpoints(configuration.endpointList());
            }
        } catch (IOException e) {
            ioFailure = e;
            ended.countDown();
            return;
        } catch (InvalidSettingsException e) {
            invalidSettings = e;
            ended.countDown();
            return;
        }
        if (components.counter != null) {
            components.counter.connect();
        }
        awaitFirstList();
    }

    private void joinFleet() throws IOException {
        JsonFields settings = configuration.settings();
        extension.setCatalogConsumer(components.dispatcher::useCatalog);
        components.dispatcher.applyFleetPolicy(
                extension.join(SettingsReader.gatewayIdentity(settings), loop::execute));
        scheduleTick();
    }

    private void scheduleTick() {
        loop.schedule(
                extension.tickIntervalMs(),
                () -> {
                    extension.tick();
                    components.servers.closeExcessConnections();
                    scheduleTick();
                });
    }

    /** Clients must not be served from a list that is older than discovery's present one. */
    private void awaitFirstList() {
        boolean isWatchRequired = SettingsReader.watchRequired(configuration.settings());
        components.watch.onFirstLine(
                isWatchRequired ? 0 : FIRST_LIST_TIMEOUT_MS, this::listenOrStandBy);
        if (!isWatchRequired) {
            components.watch.setEnabled(true);
        }
    }

    private void listenOrStandBy() {
        try {
            if (!components.handover.tryListenAtStart()) {
                components.handover.pollForTakeover();
            }
        } catch (IOException e) {
            ioFailure = e;
        }
        ended.countDown();
    }
}
