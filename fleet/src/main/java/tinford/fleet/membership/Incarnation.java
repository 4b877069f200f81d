package tinford.fleet.membership;

/**
 * One run of a gateway's process. Incarnations are ordered by gateway, then by start time: a
 * restart creates a later incarnation of the same gateway.
 *
 * @param gateway number of the gateway, from 0
 * @param start start time of the process, in Unix ms
 */
public record Incarnation(int gateway, long start) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        return gateway != other.gateway
                ? Integer.compare(gateway, other.gateway)
                : Long.compare(start, other.start);
    }
}
