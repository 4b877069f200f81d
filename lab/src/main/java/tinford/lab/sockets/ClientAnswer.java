package tinford.lab.sockets;

/**
 * What a client got for a request.
 *
 * @param text the answer as it came, or null where none did
 * @param request its id as the wires have it
 * @param retryAfter when a denied one may come again, in ms; 0 where that was not told
 */
record ClientAnswer(String text, String request, double retryAfter) {
    private static final String BUSY = "-BUSY";
    private static final String ABORTED = "-ERR aborted";

    /**
     * @throws NumberFormatException where a denial tells a time that is none
     */
    static ClientAnswer of(String text, String request) {
        int from = BUSY.length() + 1;
        boolean told = text != null && text.startsWith(BUSY) && text.length() > from;
        return new ClientAnswer(text, request, told ? Double.parseDouble(text.substring(from)) : 0);
    }

    boolean none() {
        return text == null;
    }

    /** The value that the servers give to this request. */
    boolean isValue() {
        return !none() && text.equals("$" + request);
    }

    boolean isDenial() {
        return !none() && text.startsWith(BUSY);
    }

    boolean isAbort() {
        return !none() && text.startsWith(ABORTED);
    }

    /** For the history. */
    String kind(boolean late) {
        if (none()) {
            return "nothing";
        }
        if (isValue()) {
            return late ? "late" : "passed";
        }
        if (isDenial()) {
            return "denied";
        }
        return isAbort() ? "aborted" : "strange";
    }

    /** For the rules, which look at the form alone. */
    String ruling() {
        if (text.startsWith("$")) {
            return "passed";
        }
        return isDenial() ? "denied" : "aborted";
    }
}
