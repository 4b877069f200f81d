package tinford.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The processes of a fleet, and their disks: a folder for each gateway. Each has a file in {@code
 * pids} while it lives; when this JVM is gone, however it went, a watcher that held a pipe to it
 * kills what is still named there, and goes too.
 */
public final class Processes implements AutoCloseable {
    private static final String ENTER = ": > \"$0/$$\" && exec \"$@\"";
    private static final String WATCH =
            "trap '' INT TERM HUP; cat > /dev/null; for f in \"$0\"/*; do [ -e \"$f\" ] && kill -9"
                    + " \"${f##*/}\"; rm -f \"$f\"; done";
    private final Path folder;
    private final Path pids;
    private final Map<Integer, Process> now = new ConcurrentHashMap<>();
    private final Process watcher;
    private final Thread hook = new Thread(this::killAll, "end of processes");
    private boolean closed;

    public Processes(Path folder) throws IOException {
        this.folder = folder;
        pids = Files.createDirectories(folder.resolve("pids"));
        watcher =
                new ProcessBuilder("sh", "-c", WATCH, pids.toString())
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        Runtime.getRuntime().addShutdownHook(hook);
    }

    public Path of(int gateway) throws IOException {
        return Files.createDirectories(folder.resolve("gateway" + gateway));
    }

    public Path disk(int gateway) throws IOException {
        return Files.createDirectories(of(gateway).resolve("disk"));
    }

    public synchronized Process start(
            int gateway, List<String> words, Map<String, String> environment, Path log)
            throws IOException {
        if (closed) {
            throw new IOException("the harness has ended");
        }
        Process before = now.get(gateway);
        if (before != null) { // one that was killed may still be on its way out: two never share a
            // disk
            try {
                before.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        List<String> all = new ArrayList<>(List.of("sh", "-c", ENTER, pids.toString()));
        all.addAll(words);
        ProcessBuilder b = new ProcessBuilder(all);
        b.environment().putAll(environment);
        Process p =
                b.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        now.put(gateway, p);
        p.onExit().thenAccept(e -> forget(e.pid()));
        return p;
    }

    private void forget(long pid) {
        try {
            Files.deleteIfExists(pids.resolve(Long.toString(pid)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** STOP or CONT, to a gateway that was started here and lives. */
    public void signal(int gateway, String name) throws IOException {
        Process p = now.get(gateway);
        if (p == null || !p.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("sh", "-c", "kill -" + name + " \"$0\"", Long.toString(p.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends one that lives, without a word to it, and waits until it is gone. */
    public void kill(int gateway) throws IOException {
        Process p = now.get(gateway);
        if (p == null) {
            return;
        }
        try {
            p.destroyForcibly().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Puts a copy of its disk aside. */
    void copyDisk(int gateway) throws IOException {
        copy(disk(gateway), of(gateway).resolve("old"));
    }

    void give(int gateway, FleetScript.Disk found) throws IOException {
        if (found != FleetScript.Disk.KEPT) {
            delete(disk(gateway));
        }
        if (found == FleetScript.Disk.OLD && Files.exists(of(gateway).resolve("old"))) {
            copy(of(gateway).resolve("old"), disk(gateway));
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        delete(to);
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.toList()) {
                try {
                    Files.copy(
                            p,
                            to.resolve(from.relativize(p).toString()),
                            StandardCopyOption.COPY_ATTRIBUTES);
                } catch (java.nio.file.NoSuchFileException e) {
                    // its owner has just removed it
                }
            }
        }
    }

    public static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    private synchronized void killAll() {
        closed = true;
        now.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        try {
            for (Process p : now.values()) {
                p.waitFor();
                forget(p.pid());
            }
            watcher.getOutputStream().close();
            watcher.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the JVM is ending: the hook has run or runs
        }
    }
}
