package tinford.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;
import tinford.settings.JsonFields;

/** Addresses as they are written everywhere here: a numeric host and a port. */
public final class Addresses {
    // guards against the look-up of a name, which blocks: what only looks like four numbers is one
    // to the machine
    private static final Pattern NUMERIC =
            Pattern.compile(
                    "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}"
                            + "|\\[[0-9a-fA-F:.]+\\]");
    private static final int SHOWN = 60; // of what is no address: the complaint is kept for a while

    private Addresses() {}

    public static InetSocketAddress of(JsonFields in, String field) {
        String text = in.text(field);
        InetSocketAddress found = of(text);
        if (found == null) {
            throw in.invalid(
                    field,
                    "a numeric host:port, not "
                            + text.substring(0, Math.min(SHOWN, text.length())));
        }
        return found;
    }

    /** Null when the text is no such address. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !NUMERIC.matcher(text.substring(0, colon)).matches()) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > 65535
                    ? null
                    : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
