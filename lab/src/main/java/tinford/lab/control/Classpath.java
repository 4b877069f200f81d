package tinford.lab.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What the processes of a run load their classes from.
 *
 * @param path as java's {@code -cp} takes it
 */
record Classpath(String path) {
    /** A collector with a single thread: for small processes, many on one machine. */
    static final String SMALL = "-XX:+UseSerialGC";

    /** A collector with short pauses: for processes that hold a lot. */
    static final String LARGE = "-XX:+UseG1GC";

    /** That of this JVM, also where it runs under a test. */
    static Classpath own() {
        return new Classpath(
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")));
    }

    /** The command that runs a main class with so much heap. */
    List<String> java(String collector, int heapMb, String mainClass, String... arguments) {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.add(collector);
        words.add("-Xmx" + heapMb + "m");
        words.addAll(List.of("-cp", path, mainClass));
        words.addAll(List.of(arguments));
        return words;
    }
}
