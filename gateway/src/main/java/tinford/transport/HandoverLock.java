package tinford.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * What two processes of one gateway share in a folder: whose turn it is to take clients, told by
 * locks that the machine takes back from a process that dies, and a record of lines. No call waits.
 */
public final class HandoverLock {
    private static final int TAKING = 0;
    private static final int OPEN = 1;
    private static final int ALIVE = 2;
    private static final int MOST_READ = 64 << 10;
    private final FileChannel locks;
    private final FileChannel record;
    private final FileChannel behind; // writes at the end of the record, whoever wrote there last
    private final FileLock[] held = new FileLock[3];
    private long read;

    /**
     * @param name of the gateway, so that several may share the folder
     */
    public HandoverLock(Path folder, String name) throws IOException {
        String stem = "tinford-" + name.replaceAll("[^A-Za-z0-9_.-]", "_");
        locks =
                FileChannel.open(
                        folder.resolve(stem + ".turn"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        behind =
                FileChannel.open(
                        folder.resolve(stem + ".record"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
        record = FileChannel.open(folder.resolve(stem + ".record"), StandardOpenOption.READ);
    }

    private boolean tryAcquire(int place) throws IOException {
        if (held[place] == null) {
            held[place] = locks.tryLock(place, 1, false);
        }
        return held[place] != null;
    }

    private void release(int place) throws IOException {
        if (held[place] != null) {
            held[place].release();
            held[place] = null;
        }
    }

    /** Whether the turn is this process's now. */
    public boolean tryAcquire() throws IOException {
        return tryAcquire(TAKING);
    }

    /**
     * Said by the one whose turn it is: its door is open. False while the one before it looks: to
     * be said again.
     */
    public boolean opened() throws IOException {
        return tryAcquire(OPEN);
    }

    /** Whether the one before this process is gone. */
    public boolean alone() throws IOException {
        return tryAcquire(ALIVE);
    }

    /** Gives the turn to a successor, if there is one. */
    public void release() throws IOException {
        release(TAKING);
        release(OPEN);
    }

    /** Whether a successor's door is open; asked by the one that gave the turn. */
    public boolean succeeded() throws IOException {
        boolean free = tryAcquire(OPEN);
        release(OPEN);
        return !free;
    }

    /** One write, which also ends what a process that was killed may have left of a line. */
    public void appendLine(String line) throws IOException {
        behind.write(ByteBuffer.wrap(("\n" + line + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    public List<String> readNewLines() throws IOException {
        List<String> found = new ArrayList<>();
        while (record.size() > read) {
            ByteBuffer b = ByteBuffer.allocate((int) Math.min(MOST_READ, record.size() - read));
            int n = record.read(b, read);
            int stop = n;
            while (stop > 0 && b.array()[stop - 1] != '\n') {
                stop--;
            }
            if (stop <= 0) {
                return found; // a line has come in part
            }
            found.addAll(new String(b.array(), 0, stop, StandardCharsets.UTF_8).lines().toList());
            read += stop;
        }
        return found;
    }
}
