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
    public String error(String key, String expected) {
        return errorAt(key, key, expected);
    }

    /** The same, with the line of another key, as where that one makes this one needed. */
    public String errorAt(String lineKey, String key, String expected) {
        int line = lineOf(lineKey);
        String where = line == NOT_WRITTEN ? file : file + ", line " + line;
        return where + ": " + key + ": expected " + expected;
    }

    boolean isWritten(String key) {
        return lineOf(key) != NOT_WRITTEN;
    }

    /** The parser keeps no places of values; the key's first line in its table is one. */
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
