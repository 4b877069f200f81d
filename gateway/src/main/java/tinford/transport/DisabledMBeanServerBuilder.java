package tinford.transport;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Named at the start as the maker of management beans: XNIO, which asks for some, does without when
 * there is none.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
