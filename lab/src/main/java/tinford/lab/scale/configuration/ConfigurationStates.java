package tinford.lab.scale.configuration;

import java.util.List;
import tinford.lab.scale.count.CountingClassLoader;

/** Builds configurations, with or without their operations counted. */
public final class ConfigurationStates {
    private static final String DRIVER =
            "tinford.lab.scale.configuration.driver.ConfigurationDriver";
    private static final ClassLoader PLAIN = ConfigurationStates.class.getClassLoader();
    private static final ClassLoader COUNTING =
            new CountingClassLoader(
                    PLAIN,
                    List.of("tinford.fleet.config."),
                    List.of("tinford.lab.scale.configuration.driver."));

    private ConfigurationStates() {}

    /** Operations are counted; its times mean nothing. */
    public static ConfigurationState counted(int tenants) throws ReflectiveOperationException {
        return build(COUNTING, tenants);
    }

    /** The program's own classes, for times. */
    public static ConfigurationState timed(int tenants) throws ReflectiveOperationException {
        return build(PLAIN, tenants);
    }

    private static ConfigurationState build(ClassLoader loader, int tenants)
            throws ReflectiveOperationException {
        return (ConfigurationState)
                loader.loadClass(DRIVER).getConstructor(int.class).newInstance(tenants);
    }
}
