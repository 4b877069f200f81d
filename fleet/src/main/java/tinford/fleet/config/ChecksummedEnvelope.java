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
 * An envelope for stored configuration data, which identifies the kind of content, the fleet and
 * the revision, and detects corruption. The format is big-endian: magic number, format version,
 * kind, revision, length of the fleet id, fleet id, length of the content, length of the compressed
 * content, the compressed content (deflate), and a SHA-256 of all bytes before it.
 */
final class ChecksummedEnvelope {
    /** The kind of content. The codes are part of the format; error messages contain the names. */
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
    private static final int MIN_BYTES = HEADER_BYTES + Byte.BYTES + 2 * Integer.BYTES + HASH_BYTES;
    private static final int BUFFER_BYTES = 16 << 10;

    private ChecksummedEnvelope() {}

    static byte[] encode(Kind kind, String fleetId, long revision, byte[] content) {
        byte[] fleet = fleetId.getBytes(StandardCharsets.UTF_8);
        byte[] compressed = compress(content);
        ByteBuffer buffer = ByteBuffer.allocate(MIN_BYTES + fleet.length + compressed.length);
        buffer.putInt(MAGIC).put(FORMAT_VERSION).put(kind.code).putLong(revision);
        buffer.put((byte) fleet.length).put(fleet);
        buffer.putInt(content.length).putInt(compressed.length).put(compressed);
        buffer.put(hash(buffer.array(), buffer.position()));
        return buffer.array();
    }

    /** The revision and content of a valid envelope. */
    record Decoded(long revision, byte[] content) {}

    /**
     * Validates an envelope and decompresses its content.
     *
     * @throws InvalidConfigurationException if it is truncated, corrupted, of another kind or
     *     fleet, or of a later format
     */
    static Decoded decode(Kind kind, String fleetId, byte[] encoded)
            throws InvalidConfigurationException {
        if (encoded.length < MIN_BYTES) {
            throw truncated(encoded);
        }
        ByteBuffer buffer = ByteBuffer.wrap(encoded);
        checkMagic(buffer);
        checkVersion(buffer); // before the hash, which a later version may compute differently
        checkHash(encoded);
        checkKind(buffer, kind);
        long revision = buffer.getLong();
        checkFleet(buffer, encoded, fleetId);
        return new Decoded(revision, readContent(buffer, encoded));
    }

    private static void checkMagic(ByteBuffer buffer) throws InvalidConfigurationException {
        if (buffer.getInt() != MAGIC) {
            throw new InvalidConfigurationException("snapshot", "a snapshot of a configuration");
        }
    }

    private static void checkVersion(ByteBuffer buffer) throws InvalidConfigurationException {
        byte version = buffer.get();
        if (version < 1 || version > FORMAT_VERSION) {
            throw new InvalidConfigurationException(
                    "snapshot.version",
                    "a version from 1 to " + FORMAT_VERSION + ", not " + version);
        }
    }

    private static void checkHash(byte[] encoded) throws InvalidConfigurationException {
        int end = encoded.length - HASH_BYTES;
        byte[] storedHash = Arrays.copyOfRange(encoded, end, encoded.length);
        if (!MessageDigest.isEqual(storedHash, hash(encoded, end))) {
            throw new InvalidConfigurationException(
                    "snapshot.hash", "the SHA-256 of all bytes before it; truncated or corrupted");
        }
    }

    private static void checkKind(ByteBuffer buffer, Kind kind)
            throws InvalidConfigurationException {
        if (buffer.get() != kind.code) {
            throw new InvalidConfigurationException("snapshot.kind", kind + " (" + kind.code + ")");
        }
    }

    private static void checkFleet(ByteBuffer buffer, byte[] encoded, String fleetId)
            throws InvalidConfigurationException {
        byte[] fleet = new byte[buffer.get() & 0xFF];
        if (buffer.remaining() < fleet.length + 2 * Integer.BYTES + HASH_BYTES) {
            throw truncated(encoded);
        }
        buffer.get(fleet);
        String storedFleet = new String(fleet, StandardCharsets.UTF_8);
        if (!storedFleet.equals(fleetId)) {
            throw new InvalidConfigurationException(
                    "snapshot.fleet", "a snapshot of fleet " + fleetId + ", not " + storedFleet);
        }
    }

    private static byte[] readContent(ByteBuffer buffer, byte[] encoded)
            throws InvalidConfigurationException {
        int contentLength = buffer.getInt();
        int compressedLength = buffer.getInt();
        if (compressedLength != buffer.remaining() - HASH_BYTES) {
            throw truncated(encoded);
        }
        if (contentLength < 0 || contentLength > ConfigurationLimits.MAX_SNAPSHOT_BYTES) {
            throw new InvalidConfigurationException(
                    "snapshot.length",
                    "at most " + ConfigurationLimits.MAX_SNAPSHOT_BYTES + " bytes");
        }
        return decompress(encoded, buffer.position(), compressedLength, contentLength);
    }

    private static byte[] hash(byte[] bytes, int length) {
        MessageDigest digest = ContentHash.sha256();
        digest.update(bytes, 0, length);
        return digest.digest();
    }

    private static InvalidConfigurationException truncated(byte[] encoded) {
        return new InvalidConfigurationException(
                "snapshot", "a complete snapshot; truncated to " + encoded.length + " bytes");
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

    private static byte[] decompress(
            byte[] encoded, int offset, int compressedLength, int contentLength)
            throws InvalidConfigurationException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(encoded, offset, compressedLength);
            byte[] content = new byte[contentLength];
            int size = 0;
            while (size < contentLength && !inflater.finished() && !inflater.needsInput()) {
                size += inflater.inflate(content, size, contentLength - size);
            }
            boolean ended = inflater.finished() || inflater.inflate(new byte[1]) == 0;
            if (size != contentLength || !ended) {
                throw new InvalidConfigurationException(
                        "snapshot.length",
                        "content of " + contentLength + " bytes when decompressed");
            }
            return content;
        } catch (DataFormatException e) {
            throw new InvalidConfigurationException("snapshot.content", "valid deflate data", e);
        } finally {
            inflater.end();
        }
    }
}
