package tinford.fleet.settings;

import java.util.List;
import java.util.Map;

/** The values of an operator file that was read, by {@code table.key}. */
public final class OperatorSettings {
    private static final int NOT_WRITTEN = 0;

    private final String file;
    private final String content;
    private final Map<String, Object> values;

    OperatorSettings(String file, String content, Map<String, Object> values) {
        this.file = file;
        this.content = content;
        this.values = values;
    }

    /** The value of a number key, written or by default. */
    public double number(String key) {
        return (Double) values.get(key);
    }

    /** The value of a flag key, written or by default. */
    public boolean flag(String key) {
        return (Boolean) values.get(key);
    }

    /** The value of a text key, written or by default. */
    public String text(String key) {
        return (String) values.get(key);
    }

    /** The value of a list key, written or by default. */
    @SuppressWarnings("unchecked")
    public List<String> texts(String key) {
        return (List<String>) values.get(key);
    }

    /** One line for an error: file, line of the key if it is written, key, expectation. */
    public String error(String key, String expected) {
        return errorAt(key, key, expected);
    }

    /** The same with the line of another key, such as the one that makes this one required. */
    public String errorAt(String lineKey, String key, String expected) {
        int line = lineOf(lineKey);
        String where = line == NOT_WRITTEN ? file : file + ", line " + line;
        return where + ": " + key + ": expected " + expected;
    }

    boolean isWritten(String key) {
        return lineOf(key) != NOT_WRITTEN;
    }

    /** The key's first line in its table, since the parser does not retain positions of values. */
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
        return NOT_WRITTEN;
    }
}
