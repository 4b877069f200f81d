package tinford.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;
import tinford.settings.JsonFields;

/** Parses addresses of the form {@code host:port} with a numeric host. */
public final class Addresses {
    /**
     * A numeric host that the JDK resolves without a name lookup, which would block the I/O thread.
     * The JDK would look up text that merely resembles an IPv4 address, such as {@code 999.1.1.1}.
     */
    private static final Pattern NUMERIC_HOST =
            Pattern.compile(
                    "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}"
                            + "|\\[[0-9a-fA-F:.]+\\]");

    /** Longest part of an invalid address that an error message quotes. */
    private static final int MAX_QUOTED_CHARS = 60;

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses the address in a field.
     *
     * @throws tinford.settings.InvalidSettingsException if the field is missing or is not a numeric
     *     {@code host:port}
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

    /** Parses an address; returns null if the text is not a numeric {@code host:port}. */
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
