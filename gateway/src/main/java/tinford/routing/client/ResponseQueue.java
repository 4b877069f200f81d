package tinford.routing.client;

/** The responses that a connection is still owed, in the order of its commands. */
final class ResponseQueue {
    private ResponseSlot first;
    private ResponseSlot last;
    private int size;

    boolean isEmpty() {
        return first == null;
    }

    int size() {
        return size;
    }

    /** The slot that is answered next, or null. */
    ResponseSlot first() {
        return first;
    }

    void add(ResponseSlot slot) {
        size++;
        if (first == null) {
            first = slot;
        } else {
            last.next = slot;
        }
        last = slot;
    }

    void removeFirst() {
        size--;
        first = first.next;
    }

    void clear() {
        size = 0;
        first = null;
    }
}
