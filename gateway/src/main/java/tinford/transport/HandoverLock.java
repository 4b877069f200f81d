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
 * The files that two processes of one gateway share in a folder: a lock file, whose locks determine
 * which process accepts clients, and a shared log of text lines. The operating system releases the
 * locks of a process that dies. No call blocks.
 */
public final class HandoverLock {
    private static final int ACCEPTING = 0;
    private static final int LISTENING = 1;
    private static final int ALIVE = 2;
    private static final int LOCK_COUNT = 3;
    private static final int MAX_READ_BYTES = 64 << 10;
    private final FileChannel lockFile;
    private final FileChannel logReader;

    /** Opened for appending, so lines go to the end whichever process wrote last. */
    private final FileChannel logWriter;

    private final FileLock[] locks = new FileLock[LOCK_COUNT];
    private long readBytes;

    /**
     * @param gatewayName makes the file names unique, so that several gateways can share the folder
     */
    public HandoverLock(Path folder, String gatewayName) throws IOException {
        String fileNamePrefix = "tinford-" + gatewayName.replaceAll("[^A-Za-z0-9_.-]", "_");
        lockFile =
                FileChannel.open(
                        folder.resolve(fileNamePrefix + ".turn"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        Path log = folder.resolve(fileNamePrefix + ".record");
        logWriter = FileChannel.open(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        logReader = FileChannel.open(log, StandardOpenOption.READ);
    }

    private boolean tryAcquire(int lock) throws IOException {
        if (locks[lock] == null) {
            locks[lock] = lockFile.tryLock(lock, 1, false);
        }
        return locks[lock] != null;
    }

    private void release(int lock) throws IOException {
        if (locks[lock] != null) {
            locks[lock].release();
            locks[lock] = null;
        }
    }

    /** Tries to become, or stay, the process that accepts clients; returns whether it is. */
    public boolean tryAcquire() throws IOException {
        return tryAcquire(ACCEPTING);
    }

    /**
     * Announces to the predecessor that this process is listening.
     *
     * @return false if the predecessor is just checking whether a successor listens; the caller has
     *     to try again
     */
    public boolean tryAnnounceListening() throws IOException {
        return tryAcquire(LISTENING);
    }

    /** Whether the predecessor has exited or there was none. */
    public boolean isOnlyProcess() throws IOException {
        return tryAcquire(ALIVE);
    }

    /** Lets a successor accept clients, if there is one. */
    public void release() throws IOException {
        release(ACCEPTING);
        release(LISTENING);
    }

    /** Whether a successor is listening; called after {@link #release()}. */
    public boolean isSuccessorListening() throws IOException {
        boolean isFree = tryAcquire(LISTENING);
        release(LISTENING);
        return !isFree;
    }

    /**
     * Appends a line to the shared log in a single write. It starts with a line end, which
     * terminates a line that a killed process may have left incomplete.
     */
    public void appendLine(String line) throws IOException {
        logWriter.write(ByteBuffer.wrap(("\n" + line + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the complete lines that were appended to the shared log since the last call. */
    public List<String> readNewLines() throws IOException {
        List<String> lines = new ArrayList<>();
        while (logReader.size() > readBytes) {
            int size = (int) Math.min(MAX_READ_BYTES, logReader.size() - readBytes);
            ByteBuffer chunk = ByteBuffer.allocate(size);
            int end = logReader.read(chunk, readBytes);
            while (end > 0 && chunk.array()[end - 1] != '\n') {
                end--;
            }
            if (end <= 0) {
                return lines; // the last line is not complete yet
            }
            lines.addAll(
                    new String(chunk.array(), 0, end, StandardCharsets.UTF_8).lines().toList());
            readBytes += end;
        }
        return lines;
    }
}
