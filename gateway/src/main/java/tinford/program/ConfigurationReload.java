package tinford.program;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import tinford.settings.InvalidSettingsException;

/**
 * Reads the configuration file again while the process runs, and moves to the addresses of
 * discovery and counter in it. A file that can't be read changes nothing.
 */
final class ConfigurationReload {
    private static final System.Logger LOG = System.getLogger("tinford.program");
    private final JsonFactory json;
    private final String path;
    private final ProcessConfiguration initial;
    private final GatewayComponents components;

    /** When the file that was read last had been modified; null if that is not known. */
    private final AtomicReference<FileTime> lastModified;

    /**
     * @param path of the configuration file
     * @param initial the configuration that the process has started with
     * @param initiallyModified when that file had been modified, read before its content
     */
    ConfigurationReload(
            JsonFactory json,
            String path,
            ProcessConfiguration initial,
            FileTime initiallyModified,
            GatewayComponents components) {
        this.json = json;
        this.path = path;
        this.initial = initial;
        this.components = components;
        this.lastModified = new AtomicReference<>(initiallyModified);
    }

    /** From any thread: reads the file. */
    void reload() {
        lastModified.set(modificationTime(path));
        readAndApply();
    }

    /** From any thread: reads the file if it was modified since it was read last. */
    void reloadIfModified() {
        FileTime modified = modificationTime(path);
        if (modified != null && !modified.equals(lastModified.getAndSet(modified))) {
            readAndApply();
        }
    }

    /** When the file was modified last, or null if there is none. */
    static FileTime modificationTime(String path) {
        try {
            return path == null ? null : Files.getLastModifiedTime(Path.of(path));
        } catch (IOException e) {
            return null;
        }
    }

    private void readAndApply() {
        try {
            ProcessConfiguration next = ProcessConfiguration.read(json, path);
            InetSocketAddress discovery = next.address("discovery");
            InetSocketAddress counter = components.counter == null ? null : next.address("counter");
            components.dispatcher.loop().execute(() -> moveTo(discovery, counter));
            List<String> requireRestart = initial.changesThatRequireRestart(next);
            LOG.log(
                    Level.INFO,
                    "configuration reloaded discovery="
                            + discovery
                            + " counter="
                            + counter
                            + (requireRestart.isEmpty()
                                    ? ""
                                    : " requires_restart=" + requireRestart));
        } catch (InvalidSettingsException e) {
            LOG.log(Level.WARNING, "configuration reload rejected: " + e.getMessage());
        }
    }

    private void moveTo(InetSocketAddress discovery, InetSocketAddress counter) {
        components.watch.moveTo(discovery);
        if (counter != null) {
            components.counter.moveTo(counter);
        }
    }
}
