package tinford.fleet.membership;

/**
 * One run of a gateway's process. A later start is a later incarnation; incarnations are ordered by
 * gateway, then by start.
 *
 * @param gateway number of the gateway, from 0
 * @param start of its process, Unix ms
 */
public record Incarnation(int gateway, long start) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        return gateway != other.gateway
                ? Integer.compare(gateway, other.gateway)
                : Long.compare(start, other.start);
    }
}
