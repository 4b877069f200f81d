package tinford.fleet.settings;

import java.util.List;
import java.util.Map;

/** The values of an operator file that was read, by {@code table.key}. */
public final class OperatorSettings {
    private static final int NOWHERE = 0;

    private final String file;
    private final String content;
    private final Map<String, Object> values;

    OperatorSettings(String file, String content, Map<String, Object> values) {
        this.file = file;
        this.content = content;
        this.values = values;
    }

    public double number(String key) {
        return (Double) values.get(key);
    }

    public boolean flag(String key) {
        return (Boolean) values.get(key);
    }

    public String text(String key) {
        return (String) values.get(key);
    }

    /** The texts of a list. */
    @SuppressWarnings("unchecked")
    public List<String> texts(String key) {
        return (List<String>) values.get(key);
    }

    /** One line that tells of a fault: file, line of the key where it is written, key. */
    public String fault(String key, String expected) {
        return faultAt(key, key, expected);
    }

    /** The same, with the line of another key, as where that one makes this one needed. */
    public String faultAt(String place, String key, String expected) {
        int line = lineOf(place);
        String where = line == NOWHERE ? file : file + ", line " + line;
        return where + ": " + key + ": expected " + expected;
    }

    boolean isWritten(String key) {
        return lineOf(key) != NOWHERE;
    }

    /** The parser keeps no places of values; the key's first line in its table is one. */
    private int lineOf(String key) {
        int dot = key.indexOf('.');
        String table = dot < 0 ? "" : key.substring(0, dot);
        String name = key.substring(dot + 1);
        int number = 0;
        String current = "";
        for (String line : content.lines().toList()) {
            number++;
            String stripped = line.strip();
            if (stripped.startsWith("[")) {
                current = stripped.replaceAll("[\\[\\]\\s]|#.*", "");
            } else if (current.equals(table) && stripped.split("=")[0].strip().equals(name)) {
                return number;
            }
        }
        return NOWHERE;
    }
}
