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
 * The file by which operators order moves, looked at once a second by a thread of its own. An order
 * is taken once: the file is renamed before anything is done, and what came of it is written under
 * the line. One order at a time.
 */
final class MigrationCommandFile implements Runnable {
    private static final int LONGEST = 1024;
    private static final long EVERY = 1000;
    private static final long PATIENCE = 15_000;
    private final Path file;
    private final Path taken;
    private final IoThreadMailbox mailbox;
    private final Handler handler;

    /** Takes an order on the I/O thread. */
    interface Handler {
        void handle(String line, Consumer<String> then);
    }

    MigrationCommandFile(Path folder, IoThreadMailbox mailbox, Handler handler) {
        this.file = folder.resolve("moves.order");
        this.taken = folder.resolve("moves.order.taken");
        this.mailbox = mailbox;
        this.handler = handler;
    }

    void start() {
        Thread t = new Thread(this, "move-commands");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void run() {
        try {
            while (true) {
                if (Files.exists(file)) {
                    look();
                }
                Thread.sleep(EVERY);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look() throws InterruptedException {
        try {
            Files.move(file, taken, StandardCopyOption.ATOMIC_MOVE);
            if (Files.size(taken) > LONGEST) {
                Files.writeString(taken, "refused, expected one line of 1024 bytes at most\n");
                return;
            }
            String line = new String(Files.readAllBytes(taken), StandardCharsets.UTF_8).strip();
            CompletableFuture<String> came = new CompletableFuture<>();
            if (line.contains("\n")) {
                came.complete("refused, expected one line");
            } else {
                mailbox.put(() -> handler.handle(line, came::complete));
            }
            Files.writeString(
                    taken, line + "\n" + came.get(PATIENCE, TimeUnit.MILLISECONDS) + "\n");
        } catch (IOException | ExecutionException | TimeoutException e) {
            System.getLogger("tinford.fleet")
                    .log(
                            Level.WARNING,
                            "moves.order: expected a file that can be read and renamed: " + e);
        }
    }
}
