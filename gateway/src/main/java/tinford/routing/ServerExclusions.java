package tinford.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which servers the operators have taken out, as a record tells that two processes of one gateway
 * read alike: one line a call, the later one counts. It does no I/O.
 */
final class ServerExclusions {
    private static final int MOST = 4096; // those put back longest ago are forgotten beyond it
    private static final double KEPT =
            600_000; // a start before the ban is told by discovery long before this is over
    private final Map<String, Ban> bans = new LinkedHashMap<>();

    private static final class Ban {
        double since;
        double until = Double.POSITIVE_INFINITY;

        boolean holds() {
            return until == Double.POSITIVE_INFINITY;
        }
    }

    /** How a call is written in the record; an id of the list has no blank. */
    static String line(String id, boolean out, double now) {
        return (out ? "suspend " : "resume ") + (long) now + " " + id;
    }

    /**
     * Takes a line of the record; the result is the server whose state may have changed, or null.
     */
    String take(String line) {
        String[] words = line.split(" ", 3);
        if (words.length != 3 || !words[1].matches("\\d{1,15}")) {
            return null; // guards the others against a line cut short by a kill
        }
        double at = Double.parseDouble(words[1]);
        Ban ban = bans.get(words[2]);
        if (words[0].equals("suspend")) {
            if (ban == null || !ban.holds()) { // a call that is repeated begins nothing anew
                ban = new Ban();
                ban.since = at;
                bans.put(words[2], ban);
            }
        } else if (words[0].equals("resume")) {
            if (ban != null && ban.holds()) {
                ban.until = at;
            }
        } else {
            return null;
        }
        bans.values().removeIf(b -> !b.holds() && (bans.size() > MOST || at - b.until > KEPT));
        return words[2];
    }

    boolean holds(String id) {
        Ban ban = bans.get(id);
        return ban != null && ban.holds();
    }

    boolean knows(String id) {
        return bans.containsKey(id);
    }

    /**
     * When a server started, as far as is safe to say: it is restarted while it is out, and
     * discovery tells of that late. Guards one that comes back cold against being taken for the
     * warm one that it was.
     */
    double born(String id, double listed) {
        Ban ban = bans.get(id);
        return ban == null || ban.holds() || listed > ban.since ? listed : ban.until;
    }
}
