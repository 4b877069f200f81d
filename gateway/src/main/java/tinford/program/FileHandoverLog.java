package tinford.program;

import java.io.IOException;
import java.util.List;
import tinford.routing.admin.HandoverLog;
import tinford.transport.HandoverLock;

/** The handover log in the folder that two processes of one gateway share. */
final class FileHandoverLog implements HandoverLog {
    private final HandoverLock lock;

    FileHandoverLog(HandoverLock lock) {
        this.lock = lock;
    }

    @Override
    public void append(String line) throws IOException {
        lock.appendLine(line);
    }

    @Override
    public List<String> readNew() throws IOException {
        return lock.readNewLines();
    }
}
