package tinford.lab.scale.gateway;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.lab.scale.count.CountingClassLoader;

/** Opens driven gateways, with or without their operations counted. */
public final class DrivenGateways {
    private static final String DRIVER = "tinford.lab.scale.driver.GatewayDriver";
    private static final ClassLoader PLAIN = DrivenGateways.class.getClassLoader();
    private static final ClassLoader COUNTING =
            new CountingClassLoader(
                    PLAIN,
                    List.of("tinford.decision.", "tinford.routing."),
                    List.of("tinford.lab.scale.driver."));

    private DrivenGateways() {}

    /** Operations are counted; its times mean nothing. */
    public static DrivenGateway counted(int gateways, UniformRandomProvider random)
            throws ReflectiveOperationException {
        return open(COUNTING, gateways, random);
    }

    /** The program's own classes, for times. */
    public static DrivenGateway timed(int gateways, UniformRandomProvider random)
            throws ReflectiveOperationException {
        return open(PLAIN, gateways, random);
    }

    private static DrivenGateway open(
            ClassLoader loader, int gateways, UniformRandomProvider random)
            throws ReflectiveOperationException {
        return (DrivenGateway)
                loader.loadClass(DRIVER)
                        .getConstructor(int.class, UniformRandomProvider.class)
                        .newInstance(gateways, random);
    }
}
