package tinford.lab.scale.count;

import java.lang.management.ManagementFactory;
import javax.management.JMException;
import javax.management.MBeanServer;
import javax.management.ObjectName;

/**
 * Objects and bytes that are reachable in this process, counted by the virtual machine after a full
 * collection. Differences of two are exact but for what other threads do meanwhile.
 */
public record LiveHeap(long objects, long bytes) {
    private static final String COMMANDS = "com.sun.management:type=DiagnosticCommand";

    /** Counts now. */
    public static LiveHeap now() throws JMException {
        MBeanServer server = ManagementFactory.getPlatformMBeanServer();
        Object[] arguments = {new String[0]};
        String[] signature = {String[].class.getName()};
        String text =
                (String)
                        server.invoke(
                                new ObjectName(COMMANDS), "gcClassHistogram", arguments, signature);
        String[] total = text.substring(text.lastIndexOf("Total")).trim().split("\\s+");
        return new LiveHeap(Long.parseLong(total[1]), Long.parseLong(total[2]));
    }

    /** What has come to be reachable since {@code before}. */
    public LiveHeap since(LiveHeap before) {
        return new LiveHeap(objects - before.objects, bytes - before.bytes);
    }
}
