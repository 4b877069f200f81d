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
    /**
     * The collector fills gaps that it leaves with arrays of this class; no state is held in it.
     */
    private static final String FILLER = "[I";

    private static final int CLASS_NAME = 3;
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
        long objects = 0;
        long bytes = 0;
        for (String line : text.split("\n")) {
            String[] words = line.trim().split("\\s+");
            boolean ofClass = words.length >= CLASS_NAME + 1 && words[0].matches("\\d+:");
            if (ofClass && !words[CLASS_NAME].equals(FILLER)) {
                objects += Long.parseLong(words[1]);
                bytes += Long.parseLong(words[2]);
            }
        }
        return new LiveHeap(objects, bytes);
    }

    /** What has come to be reachable since {@code before}. */
    public LiveHeap since(LiveHeap before) {
        return new LiveHeap(objects - before.objects, bytes - before.bytes);
    }
}
