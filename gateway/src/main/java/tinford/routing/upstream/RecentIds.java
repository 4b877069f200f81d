package tinford.routing.upstream;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A bounded set of ids that evicts the oldest id when it is full. */
final class RecentIds {
    private final Set<String> ids;

    RecentIds(int maxIds) {
        ids =
                Collections.newSetFromMap(
                        new LinkedHashMap<>() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                                return size() > maxIds;
                            }
                        });
    }

    void add(String id) {
        ids.add(id);
    }

    void remove(String id) {
        ids.remove(id);
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
