package tinford.lab.control;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import tinford.fleet.config.Configuration;

/**
 * A digest over everything that a configuration's maps hold, read entry by entry: it does not trust
 * the hash that the configuration keeps of itself.
 */
final class ContentDigest {
    private static final int DIGEST_BYTES = 8;

    private ContentDigest() {}

    static String of(Configuration configuration) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            add(digest, configuration.services());
            add(digest, configuration.routes());
            add(digest, configuration.plans());
            add(digest, configuration.tenants());
            return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void add(MessageDigest digest, Map<?, ?> entries) {
        entries.forEach(
                (key, value) ->
                        digest.update((key + "=" + value + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
