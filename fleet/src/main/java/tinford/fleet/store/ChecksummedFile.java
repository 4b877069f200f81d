package tinford.fleet.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * A content with a header that tells whether it is whole: magic, format version, written-at time,
 * length and a CRC32C over all of that and the content. Big-endian, 28 bytes before the content.
 */
final class ChecksummedFile {
    static final int HEAD = 28;
    private static final int MAGIC = 0x74696e66; // "tinf"
    private static final int VERSION = 1;
    private static final int SUM_AT = 24;

    private ChecksummedFile() {}

    static byte[] seal(byte[] content, double now) {
        ByteBuffer to = ByteBuffer.allocate(HEAD + content.length);
        to.putInt(MAGIC)
                .putInt(VERSION)
                .putDouble(now)
                .putInt(content.length)
                .putInt(0)
                .putInt(0)
                .put(content);
        to.putInt(SUM_AT, sum(to.array()));
        return to.array();
    }

    /** Takes nothing on trust: each way to be wrong counts as absent and is told. */
    static Store.Found open(byte[] bytes, double now, double aheadMs, int largest) {
        if (bytes.length < HEAD) {
            return absent("torn: " + bytes.length + " bytes, expected at least " + HEAD);
        }
        ByteBuffer from = ByteBuffer.wrap(bytes);
        if (from.getInt() != MAGIC) {
            return absent("foreign: does not begin as a store of tinford");
        }
        int version = from.getInt();
        double at = from.getDouble();
        int length = from.getInt();
        if (from.getInt() != 0) {
            return absent("damaged: spare bytes at 20 expected 0");
        }
        // the version before the sum: a later version may sum otherwise
        if (version > VERSION) {
            return absent("version " + version + ", expected at most " + VERSION);
        }
        if (length < 0 || length > largest) {
            return absent("too long: length " + length + ", expected 0 to " + largest);
        }
        if (bytes.length != HEAD + length) {
            return absent("torn: " + bytes.length + " bytes, expected " + (HEAD + length));
        }
        if (from.getInt() != sum(bytes)) {
            return absent("damaged: CRC32C does not match");
        }
        if (version < 1 || !(at <= now + aheadMs)) {
            return absent(
                    version < 1
                            ? "version " + version + ", expected 1"
                            : "dated in the future: written at "
                                    + at
                                    + ", now "
                                    + now
                                    + ", expected at most "
                                    + aheadMs
                                    + " ms ahead");
        }
        byte[] content = new byte[length];
        from.get(content);
        return new Store.Found(content, null);
    }

    private static Store.Found absent(String why) {
        return new Store.Found(null, why);
    }

    /** Over all bytes but its own four. */
    private static int sum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, SUM_AT);
        crc.update(bytes, HEAD, bytes.length - HEAD);
        return (int) crc.getValue();
    }
}
