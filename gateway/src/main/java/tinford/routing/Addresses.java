package tinford.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;
import tinford.settings.JsonFields;

/** Reads addresses of the form {@code host:port} with a numeric host. */
public final class Addresses {
    /**
     * A numeric host as the JDK takes it without a name lookup, which would block. Text that only
     * resembles four numbers, such as {@code 999.1.1.1}, would be looked up.
     */
    private static final Pattern NUMERIC_HOST =
            Pattern.compile(
                    "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}"
                            + "|\\[[0-9a-fA-F:.]+\\]");

    /** Characters of an invalid address that an error message repeats. */
    private static final int MAX_QUOTED_CHARS = 60;

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Reads the address in a field.
     *
     * @throws tinford.settings.InvalidSettingsException if the field is missing or no address
     */
    public static InetSocketAddress of(JsonFields fields, String field) {
        String text = fields.text(field);
        InetSocketAddress address = of(text);
        if (address == null) {
            String quoted = text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
            throw fields.invalid(field, "a numeric host:port, not " + quoted);
        }
        return address;
    }

    /** The address that the text names, or null if it names none. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !NUMERIC_HOST.matcher(text.substring(0, colon)).matches()) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > MAX_PORT
                    ? null
                    : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
