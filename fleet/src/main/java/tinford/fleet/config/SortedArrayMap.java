package tinford.fleet.config;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * An immutable map that iterates in ascending order of its keys. It is backed by two sorted arrays,
 * so that it needs two references per entry and a modified copy takes a single pass.
 */
final class SortedArrayMap<K extends Comparable<K>, V> extends AbstractMap<K, V> {
    private final Object[] keys;
    private final Object[] values;

    private SortedArrayMap(Object[] keys, Object[] values) {
        this.keys = keys;
        this.values = values;
    }

    static <K extends Comparable<K>, V> SortedArrayMap<K, V> empty() {
        return new SortedArrayMap<>(new Object[0], new Object[0]);
    }

    /** Creates a map from its values; of several values with the same key the last one is used. */
    static <K extends Comparable<K>, V> SortedArrayMap<K, V> of(
            Collection<V> values, Function<V, K> keyOf) {
        SortedMap<K, V> sorted = new TreeMap<>();
        for (V value : values) {
            sorted.put(keyOf.apply(value), value);
        }
        return new SortedArrayMap<>(sorted.keySet().toArray(), sorted.values().toArray());
    }

    /**
     * A copy with entries added or replaced, or removed if their value is null. Returns this map if
     * there are no edits.
     */
    SortedArrayMap<K, V> with(SortedMap<K, V> edits) {
        if (edits.isEmpty()) {
            return this;
        }
        Object[] newKeys = new Object[keys.length + edits.size()];
        Object[] newValues = new Object[newKeys.length];
        int from = 0;
        int size = 0;
        for (Map.Entry<K, V> edit : edits.entrySet()) {
            int found = Arrays.binarySearch(keys, from, keys.length, edit.getKey());
            int until = found >= 0 ? found : -found - 1;
            System.arraycopy(keys, from, newKeys, size, until - from);
            System.arraycopy(values, from, newValues, size, until - from);
            size += until - from;
            from = found >= 0 ? found + 1 : until;
            if (edit.getValue() != null) {
                newKeys[size] = edit.getKey();
                newValues[size] = edit.getValue();
                size++;
            }
        }
        int rest = keys.length - from;
        System.arraycopy(keys, from, newKeys, size, rest);
        System.arraycopy(values, from, newValues, size, rest);
        size += rest;
        return new SortedArrayMap<>(Arrays.copyOf(newKeys, size), Arrays.copyOf(newValues, size));
    }

    @Override
    public int size() {
        return keys.length;
    }

    @Override
    public boolean containsKey(Object key) {
        return Arrays.binarySearch(keys, key) >= 0;
    }

    @Override
    public V get(Object key) {
        int found = Arrays.binarySearch(keys, key);
        return found >= 0 ? valueAt(found) : null;
    }

    @Override
    public Set<Entry<K, V>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public int size() {
                return keys.length;
            }

            @Override
            public Iterator<Entry<K, V>> iterator() {
                return new EntryIterator();
            }
        };
    }

    @SuppressWarnings("unchecked")
    private K keyAt(int index) {
        return (K) keys[index];
    }

    @SuppressWarnings("unchecked")
    private V valueAt(int index) {
        return (V) values[index];
    }

    private final class EntryIterator implements Iterator<Entry<K, V>> {
        private int next;

        @Override
        public boolean hasNext() {
            return next < keys.length;
        }

        @Override
        public Entry<K, V> next() {
            if (next >= keys.length) {
                throw new NoSuchElementException();
            }
            Entry<K, V> entry = new SimpleImmutableEntry<>(keyAt(next), valueAt(next));
            next++;
            return entry;
        }
    }
}
