package tinford.fleet.members;

/**
 * One life of a gateway: its number, and when its process started (Unix ms). A later start is a
 * later life.
 */
public record Life(int gateway, long start) implements Comparable<Life> {
    @Override
    public int compareTo(Life other) {
        return gateway != other.gateway
                ? Integer.compare(gateway, other.gateway)
                : Long.compare(start, other.start);
    }
}
