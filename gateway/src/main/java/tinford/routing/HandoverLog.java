package tinford.routing;

import java.io.IOException;
import java.util.List;

/** Lines that outlive a process and are shared with its successor. */
public interface HandoverLog {
    void add(String line) throws IOException;

    /** Those that have come since the last call, also from the other process. */
    List<String> news() throws IOException;
}
