package tinford.fleet.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * File format of a content behind a header by which a torn or damaged file is recognized. The
 * header, big-endian: magic, format version, time of writing, content length, four reserved bytes,
 * and a CRC32C over all of that and the content.
 */
final class ChecksummedFile {
    static final int HEADER_BYTES = 28;
    private static final int MAGIC = 0x74696e66; // "tinf"
    private static final int FORMAT_VERSION = 1;
    private static final int CHECKSUM_OFFSET = 24;

    private ChecksummedFile() {}

    static byte[] encode(byte[] content, double writtenAtMs) {
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + content.length);
        file.putInt(MAGIC)
                .putInt(FORMAT_VERSION)
                .putDouble(writtenAtMs)
                .putInt(content.length)
                .putInt(0)
                .putInt(0)
                .put(content);
        file.putInt(CHECKSUM_OFFSET, checksum(file.array()));
        return file.array();
    }

    /**
     * Checks the header before the content is used.
     *
     * @param maxFutureMs how far after {@code nowMs} the time of writing may lie
     */
    static Store.ReadResult decode(
            byte[] file, double nowMs, double maxFutureMs, int maxContentBytes) {
        if (file.length < HEADER_BYTES) {
            return absent("torn: " + file.length + " bytes, expected at least " + HEADER_BYTES);
        }
        Header header = Header.read(ByteBuffer.wrap(file));
        String problem = header.formatProblem(file, maxContentBytes);
        if (problem == null) {
            problem = header.timeProblem(nowMs, maxFutureMs);
        }
        if (problem != null) {
            return absent(problem);
        }
        byte[] content = new byte[header.contentBytes];
        System.arraycopy(file, HEADER_BYTES, content, 0, content.length);
        return new Store.ReadResult(content, null);
    }

    private record Header(
            int magic,
            int version,
            double writtenAtMs,
            int contentBytes,
            int reserved,
            int checksum) {
        static Header read(ByteBuffer file) {
            return new Header(
                    file.getInt(),
                    file.getInt(),
                    file.getDouble(),
                    file.getInt(),
                    file.getInt(),
                    file.getInt());
        }

        /** The version is checked before the checksum, which a later version may compute anew. */
        String formatProblem(byte[] file, int maxContentBytes) {
            if (magic != MAGIC) {
                return "foreign: does not begin as a store of tinford";
            }
            if (reserved != 0) {
                return "damaged: spare bytes at 20 expected 0";
            }
            if (version > FORMAT_VERSION) {
                return "version " + version + ", expected at most " + FORMAT_VERSION;
            }
            if (contentBytes < 0 || contentBytes > maxContentBytes) {
                return "too long: length " + contentBytes + ", expected 0 to " + maxContentBytes;
            }
            if (file.length != HEADER_BYTES + contentBytes) {
                return "torn: " + file.length + " bytes, expected " + (HEADER_BYTES + contentBytes);
            }
            if (checksum != ChecksummedFile.checksum(file)) {
                return "damaged: CRC32C does not match";
            }
            return version < 1 ? "version " + version + ", expected 1" : null;
        }

        /** A time that is not a number is never in range. */
        String timeProblem(double nowMs, double maxFutureMs) {
            if (writtenAtMs <= nowMs + maxFutureMs) {
                return null;
            }
            return "dated in the future: written at "
                    + writtenAtMs
                    + ", now "
                    + nowMs
                    + ", expected at most "
                    + maxFutureMs
                    + " ms ahead";
        }
    }

    private static Store.ReadResult absent(String reason) {
        return Store.ReadResult.absent(reason);
    }

    /** Over all bytes but those of the checksum. */
    private static int checksum(byte[] file) {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, CHECKSUM_OFFSET);
        crc.update(file, HEADER_BYTES, file.length - HEADER_BYTES);
        return (int) crc.getValue();
    }
}
