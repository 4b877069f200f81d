package tinford.lab.control;

import java.util.ArrayList;
import java.util.List;
import tinford.lab.sockets.Between;

/**
 * What the processes of a run load their classes from.
 *
 * @param path as java's {@code -cp} takes it
 */
record Classpath(String path) {
    /** That of this JVM, also where it runs under a test. */
    static Classpath own() {
        return new Classpath(
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")));
    }

    /** The command that runs a main class with so much heap. */
    List<String> java(int heapMb, String mainClass, String... arguments) {
        List<String> words = new ArrayList<>(Between.JAVA);
        words.removeIf(word -> word.startsWith("-Xmx"));
        words.addAll(List.of("-Xmx" + heapMb + "m", "-cp", path, mainClass));
        words.addAll(List.of(arguments));
        return words;
    }
}
