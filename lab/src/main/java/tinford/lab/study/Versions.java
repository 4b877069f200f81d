package tinford.lab.study;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarFile;
import tinford.api.AttemptLimits;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.GatewayIdentity;
import tinford.api.Objectives;
import tinford.api.SlowStartRules;
import tinford.decision.DecisionEngine;

/**
 * The decisions of another version, from its jar: its own classes of the module, behind the
 * interface of this one.
 */
public final class Versions {
    private static final String PACKAGE = "tinford.decision.";
    private static final String MODULE = PACKAGE + "DecisionEngine";

    /** The module's name before its interface was renamed. */
    private static final String EARLIER_MODULE = "tinford.Decide";

    private Versions() {}

    /** What is wrong with a jar. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        Bad(String message) {
            super(message);
        }
    }

    public static DecisionModule.Factory here() {
        return DecisionEngine::new;
    }

    /**
     * @param jar null for the decisions of this version
     */
    public static DecisionModule.Factory ofOrHere(Path jar) throws Bad {
        return jar == null ? here() : of(jar);
    }

    /**
     * @param jar as a build leaves it; it stays open for the life of the process
     */
    public static DecisionModule.Factory of(Path jar) throws Bad {
        if (!Files.isRegularFile(jar)) {
            throw new Bad(jar + ": expected the jar of a gateway");
        }
        try {
            Class<?> module = new Own(jar).loadClass(MODULE);
            Constructor<?> make =
                    module.getConstructor(
                            long.class,
                            GatewayIdentity.class,
                            AttemptLimits.class,
                            SlowStartRules.class,
                            CounterSettings.class,
                            Objectives.class,
                            boolean.class);
            if (!DecisionModule.class.isAssignableFrom(module)) {
                throw new Bad(jar + ": " + MODULE + ": expected the interface of this version");
            }
            return (seed, place, limits, rules, counter, goal, mustAsk) -> {
                try {
                    return (DecisionModule)
                            make.newInstance(seed, place, limits, rules, counter, goal, mustAsk);
                } catch (InvocationTargetException e) {
                    throw new IllegalStateException(jar + ": " + e.getCause(), e.getCause());
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(jar + ": " + e, e);
                }
            };
        } catch (ClassNotFoundException e) {
            throw new Bad(missingModule(jar));
        } catch (NoSuchMethodException | LinkageError e) {
            throw new Bad(
                    jar
                            + ": "
                            + MODULE
                            + ": expected the interface of this version: "
                            + e.getMessage());
        } catch (IOException e) {
            throw new Bad(jar + ": expected a jar that can be read: " + e.getMessage());
        }
    }

    /**
     * Versions are compared through the module's interface, whose types have to have the same
     * names.
     */
    private static String missingModule(Path jar) {
        String expected = jar + ": expected " + MODULE + " in it";
        try (JarFile file = new JarFile(jar.toFile())) {
            boolean earlier = file.getEntry(EARLIER_MODULE.replace('.', '/') + ".class") != null;
            return earlier
                    ? expected
                            + ", not "
                            + EARLIER_MODULE
                            + ": versions from before the module's interface was renamed can't be"
                            + " compared with this one"
                    : expected;
        } catch (IOException e) {
            return expected;
        }
    }

    /** The module's classes from the jar, all else from here. */
    private static final class Own extends URLClassLoader {
        Own(Path jar) throws IOException {
            super(new URL[] {jar.toUri().toURL()}, Versions.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(PACKAGE)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> known = findLoadedClass(name);
                if (known != null) {
                    return known;
                }
                URL at = findResource(name.replace('.', '/') + ".class");
                if (at == null) {
                    throw new ClassNotFoundException(name);
                }
                try (InputStream in = at.openStream()) {
                    byte[] b = in.readAllBytes();
                    return defineClass(name, b, 0, b.length);
                } catch (IOException e) {
                    throw new ClassNotFoundException(name, e);
                }
            }
        }
    }
}
