package tinford.lab.scale.count;

import java.util.Collection;
import java.util.List;

/**
 * What classes loaded by {@link CountingClassLoader} have executed. Each of their methods and
 * branches counts as one operation; what the Java library searches through or copies for them is
 * counted apart. Not thread-safe: the code that is counted runs on one thread.
 */
public final class OperationCounter {
    private static long operations;
    private static long elements;

    private OperationCounter() {}

    /** Methods entered and branches taken so far. */
    public static long operations() {
        return operations;
    }

    /** Elements that lists were searched through for, or that were copied, so far. */
    public static long elements() {
        return elements;
    }

    /** Called by counted code at the start of each method and at each branch. */
    public static void operation() {
        operations++;
    }

    /** Called by counted code in place of {@link Collection#contains}. */
    public static boolean contains(Collection<?> collection, Object wanted) {
        elements += searched(collection, wanted);
        return collection.contains(wanted);
    }

    /** Called by counted code in place of {@link Collection#remove(Object)}. */
    public static boolean remove(Collection<?> collection, Object unwanted) {
        elements += searched(collection, unwanted);
        return collection.remove(unwanted);
    }

    /** Called by counted code with each collection that it is about to copy. */
    public static Collection<?> copied(Collection<?> collection) {
        elements += collection.size();
        return collection;
    }

    /** A list is searched from its start; sets and maps find an element at once. */
    private static long searched(Collection<?> collection, Object wanted) {
        if (!(collection instanceof List<?> list)) {
            return 1;
        }
        int index = list.indexOf(wanted);
        return index < 0 ? list.size() : index + 1L;
    }
}
