package tinford.lab.scale.count;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * What one piece of work took on the thread that ran it.
 *
 * @param operations methods and branches of counted code; 0 where the code is not counted
 * @param elements searched through or copied by counted code
 */
public record Cost(long operations, long elements, long nanos, long allocatedBytes) {
    /** Of no work at all. */
    public static final Cost NONE = new Cost(0, 0, 0, 0);

    private static final double NANOS_A_MILLI = 1e6;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /** Runs the work on the calling thread. */
    public static Cost of(Runnable work) {
        long allocated = THREADS.getCurrentThreadAllocatedBytes();
        long operations = OperationCounter.operations();
        long elements = OperationCounter.elements();
        long start = System.nanoTime();
        work.run();
        return new Cost(
                OperationCounter.operations() - operations,
                OperationCounter.elements() - elements,
                System.nanoTime() - start,
                THREADS.getCurrentThreadAllocatedBytes() - allocated);
    }

    /** What both took together. */
    public Cost plus(Cost other) {
        return new Cost(
                operations + other.operations,
                elements + other.elements,
                nanos + other.nanos,
                allocatedBytes + other.allocatedBytes);
    }

    public double millis() {
        return nanos / NANOS_A_MILLI;
    }
}
