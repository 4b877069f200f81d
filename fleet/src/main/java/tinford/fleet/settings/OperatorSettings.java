package tinford.fleet.settings;

import java.util.List;
import java.util.Map;

/** The settings read from an operator file, with keys of the form {@code table.key}. */
public final class OperatorSettings {
    private static final int NOT_FOUND = 0;

    private final String file;
    private final String content;
    private final Map<String, Object> values;

    OperatorSettings(String file, String content, Map<String, Object> values) {
        this.file = file;
        this.content = content;
        this.values = values;
    }

    /** The value of a numeric key, or its default. */
    public double number(String key) {
        return (Double) values.get(key);
    }

    /** The value of a boolean key, or its default. */
    public boolean flag(String key) {
        return (Boolean) values.get(key);
    }

    /** The value of a string key, or its default. */
    public String text(String key) {
        return (String) values.get(key);
    }

    /** The value of a key that holds a list of strings, or its default. */
    @SuppressWarnings("unchecked")
    public List<String> texts(String key) {
        return (List<String>) values.get(key);
    }

    /**
     * A one-line error message: the file, the line of the key if the file contains it, the key, and
     * what was expected.
     */
    public String error(String key, String expected) {
        return errorAt(key, key, expected);
    }

    /** The same with the line of another key, such as one that makes this key required. */
    public String errorAt(String lineKey, String key, String expected) {
        int line = lineOf(lineKey);
        String where = line == NOT_FOUND ? file : file + ", line " + line;
        return where + ": " + key + ": expected " + expected;
    }

    boolean isPresent(String key) {
        return lineOf(key) != NOT_FOUND;
    }

    /** The line of a key, searched for in the text because the parser does not keep positions. */
    private int lineOf(String key) {
        int dot = key.indexOf('.');
        String table = dot < 0 ? "" : key.substring(0, dot);
        String name = key.substring(dot + 1);
        int lineNumber = 0;
        String currentTable = "";
        for (String line : content.lines().toList()) {
            lineNumber++;
            String stripped = line.strip();
            if (stripped.startsWith("[")) {
                currentTable = stripped.replaceAll("[\\[\\]\\s]|#.*", "");
            } else if (currentTable.equals(table) && stripped.split("=")[0].strip().equals(name)) {
                return lineNumber;
            }
        }
        return NOT_FOUND;
    }
}
