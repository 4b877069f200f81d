package tinford.transport;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents the JVM from creating an MBean server, which XNIO would otherwise start and register
 * with. Selected by the system property {@code javax.management.builder.initial}.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
