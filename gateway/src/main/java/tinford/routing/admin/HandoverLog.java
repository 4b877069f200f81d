package tinford.routing.admin;

import java.io.IOException;
import java.util.List;

/** A log of lines that outlives a gateway process and is shared with its successor. */
public interface HandoverLog {
    /**
     * Appends a line.
     *
     * @throws IOException if the line cannot be stored
     */
    void append(String line) throws IOException;

    /**
     * Returns the lines that either process has appended since the last call.
     *
     * @throws IOException if the lines cannot be read; a later call returns them
     */
    List<String> readNew() throws IOException;
}
