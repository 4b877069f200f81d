package tinford.program;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import tinford.api.DecisionModule;
import tinford.settings.InvalidSettingsException;

/**
 * The gateway as a program: reads its configuration, starts, reloads the configuration at SIGHUP,
 * and drains at SIGTERM.
 */
public final class GatewayProcess {
    /** The exit code that says that the gateway runs. */
    private static final int RUNNING = -1;

    private static final int START_FAILED = 1;

    private GatewayProcess() {}

    /** Starts a gateway that is part of no fleet. */
    public static int start(
            Map<String, String> environment,
            PrintStream errors,
            DecisionModule.Factory moduleFactory) {
        return start(environment, errors, moduleFactory, null);
    }

    /**
     * Starts a gateway, which then runs on its I/O thread.
     *
     * @param errors where a failed start is reported, in one line
     * @param extension of a gateway that is part of a fleet, whose messages between gateways it
     *     sends; or null
     * @return an exit code, or -1 when the gateway runs
     */
    public static int start(
            Map<String, String> environment,
            PrintStream errors,
            DecisionModule.Factory moduleFactory,
            FleetExtension extension) {
        try {
            run(environment, moduleFactory, extension);
            return RUNNING;
        } catch (InvalidSettingsException e) {
            errors.println("tinford: " + e.getMessage());
        } catch (BindException e) {
            errors.println("tinford: an address to listen on is not free: " + e.getMessage());
        } catch (IOException e) {
            errors.println("tinford: " + e);
        }
        return START_FAILED;
    }

    private static void run(
            Map<String, String> environment,
            DecisionModule.Factory moduleFactory,
            FleetExtension extension)
            throws IOException {
        JsonFactory json = new JsonFactory();
        String path = environment.get(ProcessConfiguration.PATH_VARIABLE);
        FileTime modified = ConfigurationReload.modificationTime(path);
        ProcessConfiguration configuration = ProcessConfiguration.read(json, path);
        GatewayComponents components =
                new GatewayComponents(
                        configuration,
                        json,
                        moduleFactory,
                        environment.get("TMPDIR"),
                        extension != null);
        FatalExit.install(components.dispatcher.loop());
        ConfigurationReload reload =
                new ConfigurationReload(json, path, configuration, modified, components);
        // both signals are handled from here on: either may come as soon as clients can connect
        Thread shutdown = new Thread(() -> drain(components, extension), "shutdown");
        Runtime.getRuntime().addShutdownHook(shutdown);
        try {
            StartSequence start = new StartSequence(configuration, components, extension);
            start.begin();
            HangupSignal.handle(reload::reload);
            start.await();
            if (components.adminApi != null) {
                components.adminApi.listen(configuration.address("management"));
            }
        } catch (IOException | InvalidSettingsException e) {
            Runtime.getRuntime().removeShutdownHook(shutdown); // it would exit with 0
            throw e;
        }
        // the signal may be late or missing when discovery has moved to another address
        components.watch.onLost(reload::reloadIfModified);
    }

    private static void drain(GatewayComponents components, FleetExtension extension) {
        if (extension == null) {
            components.handover.drainAndExit(() -> {});
        } else {
            components.dispatcher.loop().execute(extension::onDrainStarted);
            components.handover.drainAndExit(extension::onDrained);
        }
    }
}
