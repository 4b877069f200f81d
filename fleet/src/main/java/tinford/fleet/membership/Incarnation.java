package tinford.fleet.membership;

/**
 * One incarnation of a gateway: its number, and when its process started (Unix ms). A later start
 * is a later incarnation.
 */
public record Incarnation(int gateway, long start) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        return gateway != other.gateway
                ? Integer.compare(gateway, other.gateway)
                : Long.compare(start, other.start);
    }
}
