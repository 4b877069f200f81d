package tinford.fleet.config;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Bytes in an envelope that tells what they are, of which fleet and revision, and whether they are
 * whole. Big-endian: magic, format version, kind, revision, length of the fleet id, the fleet id,
 * length of the content, length of the compressed content, the compressed content, and a SHA-256
 * over all that stands before it.
 */
final class ChecksummedState {
    /** What the content is; the numbers are part of the format. */
    enum Kind {
        CONFIGURATION(1),
        HISTORY(2);

        private final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }
    }

    private static final int MAGIC = 0x74666373; // "tfcs"
    private static final byte FORMAT_VERSION = 1;
    private static final int HASH_BYTES = 32;
    private static final int HEADER_BYTES = Integer.BYTES + 2 * Byte.BYTES + Long.BYTES;
    private static final int LEAST_BYTES =
            HEADER_BYTES + Byte.BYTES + 2 * Integer.BYTES + HASH_BYTES;
    private static final int BUFFER_BYTES = 16 << 10;

    private ChecksummedState() {}

    static byte[] seal(Kind kind, String fleetId, long revision, byte[] content) {
        byte[] fleet = fleetId.getBytes(StandardCharsets.UTF_8);
        byte[] compressed = compress(content);
        ByteBuffer to = ByteBuffer.allocate(LEAST_BYTES + fleet.length + compressed.length);
        to.putInt(MAGIC).put(FORMAT_VERSION).put(kind.code).putLong(revision);
        to.put((byte) fleet.length).put(fleet);
        to.putInt(content.length).putInt(compressed.length).put(compressed);
        to.put(hash(to.array(), to.position()));
        return to.array();
    }

    /** What an envelope holds. */
    record Opened(long revision, byte[] content) {}

    static Opened open(Kind kind, String fleetId, byte[] sealed)
            throws InvalidConfigurationException {
        if (sealed.length < LEAST_BYTES) {
            throw torn(sealed);
        }
        ByteBuffer from = ByteBuffer.wrap(sealed);
        if (from.getInt() != MAGIC) {
            throw new InvalidConfigurationException("snapshot", "a snapshot of a configuration");
        }
        byte version = from.get();
        if (version < 1 || version > FORMAT_VERSION) { // first: a later one may hash otherwise
            throw new InvalidConfigurationException(
                    "snapshot.version",
                    "a version from 1 to " + FORMAT_VERSION + ", not " + version);
        }
        checkHash(sealed);
        if (from.get() != kind.code) {
            throw new InvalidConfigurationException("snapshot.kind", kind + " (" + kind.code + ")");
        }
        long revision = from.getLong();
        String fleet = readFleet(from, sealed);
        if (!fleet.equals(fleetId)) {
            throw new InvalidConfigurationException(
                    "snapshot.fleet", "a snapshot of fleet " + fleetId + ", not " + fleet);
        }
        int contentLength = from.getInt();
        int compressedLength = from.getInt();
        if (compressedLength != from.remaining() - HASH_BYTES) {
            throw torn(sealed);
        }
        if (contentLength < 0 || contentLength > ConfigurationLimits.SNAPSHOT_BYTES) {
            throw new InvalidConfigurationException(
                    "snapshot.length", "at most " + ConfigurationLimits.SNAPSHOT_BYTES + " bytes");
        }
        return new Opened(
                revision, decompress(sealed, from.position(), compressedLength, contentLength));
    }

    private static String readFleet(ByteBuffer from, byte[] sealed)
            throws InvalidConfigurationException {
        byte[] fleet = new byte[from.get() & 0xFF];
        if (from.remaining() < fleet.length + 2 * Integer.BYTES + HASH_BYTES) {
            throw torn(sealed);
        }
        from.get(fleet);
        return new String(fleet, StandardCharsets.UTF_8);
    }

    private static void checkHash(byte[] sealed) throws InvalidConfigurationException {
        int end = sealed.length - HASH_BYTES;
        byte[] told = Arrays.copyOfRange(sealed, end, sealed.length);
        if (!MessageDigest.isEqual(told, hash(sealed, end))) {
            throw new InvalidConfigurationException(
                    "snapshot.hash", "the SHA-256 of what stands before it: torn or damaged");
        }
    }

    private static byte[] hash(byte[] bytes, int length) {
        MessageDigest digest = ContentHash.sha256();
        digest.update(bytes, 0, length);
        return digest.digest();
    }

    private static InvalidConfigurationException torn(byte[] sealed) {
        return new InvalidConfigurationException(
                "snapshot", "a whole snapshot; torn at " + sealed.length + " bytes");
    }

    private static byte[] compress(byte[] content) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(content);
            deflater.finish();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                bytes.write(buffer, 0, deflater.deflate(buffer));
            }
            return bytes.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] decompress(byte[] from, int at, int length, int contentLength)
            throws InvalidConfigurationException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(from, at, length);
            byte[] content = new byte[contentLength];
            int size = 0;
            while (size < contentLength && !inflater.finished() && !inflater.needsInput()) {
                size += inflater.inflate(content, size, contentLength - size);
            }
            boolean ended = inflater.finished() || inflater.inflate(new byte[1]) == 0;
            if (size != contentLength || !ended) {
                throw new InvalidConfigurationException(
                        "snapshot.length", "content of " + contentLength + " bytes");
            }
            return content;
        } catch (DataFormatException e) {
            throw new InvalidConfigurationException("snapshot.content", "deflated bytes", e);
        } finally {
            inflater.end();
        }
    }
}
