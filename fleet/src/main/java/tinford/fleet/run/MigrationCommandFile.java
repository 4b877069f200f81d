package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * The file in which operators give commands for migrations, polled by a thread of its own. A
 * command is executed once: the file is renamed before, and the outcome is written below the
 * command in the renamed file.
 */
final class MigrationCommandFile implements Runnable {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final int MAX_BYTES = 1024;
    private static final long POLL_INTERVAL_MS = 1000;
    private static final long OUTCOME_TIMEOUT_MS = 15_000;

    private final Path file;
    private final Path takenFile;
    private final IoThreadMailbox mailbox;
    private final Handler handler;

    /** Executes a command on the I/O thread. */
    interface Handler {
        /**
         * @param callback receives the outcome, once
         */
        void handle(String line, Consumer<String> callback);
    }

    MigrationCommandFile(Path folder, IoThreadMailbox mailbox, Handler handler) {
        this.file = folder.resolve("moves.order");
        this.takenFile = folder.resolve("moves.order.taken");
        this.mailbox = mailbox;
        this.handler = handler;
    }

    /** Starts the polling thread. */
    void start() {
        Thread thread = new Thread(this, "move-commands");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void run() {
        try {
            while (true) {
                if (Files.exists(file)) {
                    executeCommand();
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void executeCommand() throws InterruptedException {
        try {
            Files.move(file, takenFile, StandardCopyOption.ATOMIC_MOVE);
            if (Files.size(takenFile) > MAX_BYTES) {
                Files.writeString(takenFile, "refused, expected one line of 1024 bytes at most\n");
                return;
            }
            String line = new String(Files.readAllBytes(takenFile), StandardCharsets.UTF_8).strip();
            String outcome = submit(line).get(OUTCOME_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            Files.writeString(takenFile, line + "\n" + outcome + "\n");
        } catch (IOException | ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "migration command failed file=" + file + " error=" + e);
        }
    }

    private CompletableFuture<String> submit(String line) throws InterruptedException {
        if (line.contains("\n")) {
            return CompletableFuture.completedFuture("refused, expected one line");
        }
        CompletableFuture<String> outcome = new CompletableFuture<>();
        mailbox.put(() -> handler.handle(line, outcome::complete));
        return outcome;
    }
}
