package tinford.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import tinford.handed.Fields;

/** Addresses as they are written everywhere here: a numeric host and a port. */
public final class Addresses {
    private Addresses() {}

    public static InetSocketAddress of(Fields in, String field) {
        String text = in.text(field);
        InetSocketAddress found = of(text);
        if (found == null) {
            throw in.bad(field, "a numeric host:port, not " + text);
        }
        return found;
    }

    /** Null when the text is no such address. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > 65535 ? null
                    : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
