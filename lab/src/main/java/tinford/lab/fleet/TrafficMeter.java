package tinford.lab.fleet;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Bytes through one link, both ways together, by second and by connection. Belongs to the loop's
 * thread.
 */
public final class TrafficMeter implements StreamLink.Traffic {
    /** Seconds over which the worst rate is taken. */
    public static final int WINDOW_SECONDS = 10;

    private static final double SECOND_MS = 1000;
    private final DoubleSupplier clock;
    private final Map<Integer, Window> connections = new HashMap<>();
    private double began;
    private long[] bySecond = new long[64];
    private long total;
    private long worstConnection;

    /**
     * @param total bytes; {@code bySecond} the same by second since the reset
     * @param worstConnection the most bytes that one connection carried in {@link #WINDOW_SECONDS}
     */
    public record Reading(double seconds, long total, long[] bySecond, long worstConnection) {}

    /** The last seconds of one connection. */
    private static final class Window {
        private final long[] seconds = new long[WINDOW_SECONDS];
        private int last;
        private long sum;

        /** Counts bytes of this second; returns the sum over the window that ends with it. */
        long add(int second, int bytes) {
            int passed = Math.min(second - last, WINDOW_SECONDS);
            for (int i = 1; i <= passed; i++) {
                int slot = (last + i) % WINDOW_SECONDS;
                sum -= seconds[slot];
                seconds[slot] = 0;
            }
            last = second;
            seconds[second % WINDOW_SECONDS] += bytes;
            sum += bytes;
            return sum;
        }
    }

    TrafficMeter(DoubleSupplier clock) {
        this.clock = clock;
        began = clock.getAsDouble();
    }

    @Override
    public void passed(int connection, int bytes) {
        int second = second();
        if (second >= bySecond.length) {
            bySecond = Arrays.copyOf(bySecond, 2 * second);
        }
        bySecond[second] += bytes;
        total += bytes;
        Window window = connections.computeIfAbsent(connection, k -> new Window());
        worstConnection = Math.max(worstConnection, window.add(second, bytes));
    }

    void closed(int connection) {
        connections.remove(connection);
    }

    void reset() {
        began = clock.getAsDouble();
        connections.clear();
        bySecond = new long[64];
        total = 0;
        worstConnection = 0;
    }

    Reading reading() {
        double seconds = (clock.getAsDouble() - began) / SECOND_MS;
        int whole = Math.min(bySecond.length, (int) seconds + 1);
        return new Reading(seconds, total, Arrays.copyOf(bySecond, whole), worstConnection);
    }

    private int second() {
        return (int) ((clock.getAsDouble() - began) / SECOND_MS);
    }
}
