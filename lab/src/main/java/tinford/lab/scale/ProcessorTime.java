package tinford.lab.scale;

import java.lang.management.ManagementFactory;

/** The processor time of this process and of the calling thread, ms. */
final class ProcessorTime {
    private static final double NS_PER_MS = 1e6;

    private ProcessorTime() {}

    /** Of all threads, those that have ended included. */
    static double processMs() {
        java.lang.management.OperatingSystemMXBean system =
                ManagementFactory.getOperatingSystemMXBean();
        if (system instanceof com.sun.management.OperatingSystemMXBean counting) {
            return counting.getProcessCpuTime() / NS_PER_MS;
        }
        throw new IllegalStateException("this virtual machine counts no processor time");
    }

    /** Of the calling thread. */
    static double threadMs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / NS_PER_MS;
    }

    /** Bytes that the calling thread has allocated. */
    static double threadAllocatedBytes() {
        if (ManagementFactory.getThreadMXBean()
                instanceof com.sun.management.ThreadMXBean threads) {
            return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        }
        throw new IllegalStateException("this virtual machine counts no allocated bytes");
    }
}
