package tinford.simulator;

import java.util.ArrayList;
import java.util.List;

/** A request of a recording, with its attempts by number. */
final class ScriptedRequest {
    /** An attempt at a server. */
    static final class Attempt {
        final ScriptedServer server;
        final long sentAtUs;
        boolean ended;

        Attempt(ScriptedServer server, long sentAtUs) {
            this.server = server;
            this.sentAtUs = sentAtUs;
        }
    }

    final long id;
    final long deadlineUs;
    final boolean streamed;
    final double units;
    final List<Attempt> attempts = new ArrayList<>();

    /** Whether the client has received its final response or has disconnected. */
    boolean over;

    boolean responseStarted;

    ScriptedRequest(long id, long deadlineUs, boolean streamed, double units) {
        this.id = id;
        this.deadlineUs = deadlineUs;
        this.streamed = streamed;
        this.units = units;
    }
}
