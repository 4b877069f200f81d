package tinford.routing.admin;

import java.io.IOException;
import java.util.List;

/** Lines that outlive a process of a gateway and are shared with its successor. */
public interface HandoverLog {
    /**
     * Appends a line.
     *
     * @throws IOException if it is not stored
     */
    void append(String line) throws IOException;

    /**
     * The lines appended since the last call, by either process.
     *
     * @throws IOException if they can't be read; they then follow with a later call
     */
    List<String> readNew() throws IOException;
}
