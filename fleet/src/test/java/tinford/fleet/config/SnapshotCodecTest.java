package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Valid snapshots are encoded and decoded unchanged; all others are rejected. */
public class SnapshotCodecTest {
    private static final int VERSION_OFFSET = 4;
    private static final SnapshotCodec CODEC = new SnapshotCodec(ConfigurationFixtures.FLEET);

    @Test
    public void configurationIsUnchangedByEncodingAndDecoding() throws Exception {
        for (Configuration each :
                List.of(
                        Configuration.EMPTY,
                        ConfigurationFixtures.basicConfiguration(),
                        ConfigurationFixtures.largeConfiguration(30, 150, 20, 1400)
                                .with(77, List.of()))) {
            Configuration read = CODEC.decode(CODEC.encode(each));
            assertEquals(read.revision(), each.revision());
            assertEquals(read.services(), each.services());
            assertEquals(read.routes(), each.routes());
            assertEquals(read.plans(), each.plans());
            assertEquals(read.tenants(), each.tenants());
            assertEquals(read.contentHash(), each.contentHash());
        }
    }

    @Test
    public void sameContentHasTheSameBytes() throws Exception {
        byte[] bytes = CODEC.encode(ConfigurationFixtures.basicConfiguration());
        assertEquals(CODEC.encode(CODEC.decode(bytes)), bytes);
    }

    @Test
    public void snapshotIsCompressed() {
        Configuration large = ConfigurationFixtures.largeConfiguration(30, 150, 20, 1400);
        int size = CODEC.encode(large).length;
        assertTrue(size < 25_000, size + " bytes");
    }

    @Test
    public void snapshotTruncatedAnywhereIsRejected() {
        byte[] whole = CODEC.encode(ConfigurationFixtures.basicConfiguration());
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(truncated));
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(longer));
    }

    @Test
    public void snapshotWithAnyByteChangedIsRejected() {
        byte[] whole = CODEC.encode(ConfigurationFixtures.basicConfiguration());
        for (int index = 0; index < whole.length; index++) {
            byte[] damaged = whole.clone();
            damaged[index] ^= 0x10;
            expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(damaged));
        }
    }

    @Test
    public void snapshotOfAnotherFleetIsRejected() {
        byte[] foreign =
                new SnapshotCodec("other").encode(ConfigurationFixtures.basicConfiguration());
        assertEquals(decodeError(foreign).key(), "snapshot.fleet");
        assertEquals(decodeError(foreign).expected(), "a snapshot of fleet test-fleet, not other");
    }

    @Test
    public void laterFormatIsRejectedByItsVersion() {
        byte[] later = CODEC.encode(ConfigurationFixtures.basicConfiguration());
        later[VERSION_OFFSET] = 2;
        assertEquals(decodeError(later).key(), "snapshot.version");
    }

    @Test
    public void damagedSnapshotIsRejectedByItsHash() {
        byte[] damaged = CODEC.encode(ConfigurationFixtures.basicConfiguration());
        damaged[damaged.length - 1] ^= 1;
        assertEquals(decodeError(damaged).key(), "snapshot.hash");
    }

    @Test
    public void historySnapshotIsNotAConfiguration() {
        assertEquals(
                decodeError(new RevisionHistory(ConfigurationFixtures.FLEET).snapshot()).key(),
                "snapshot.kind");
    }

    @Test
    public void contentOfAnotherLengthThanDeclaredIsRejected() {
        byte[] envelope = encode("{\"version\":1}" + " ".repeat(10_000_000));
        int lengthOffset = 15 + ConfigurationFixtures.FLEET.length();
        ByteBuffer.wrap(envelope).putInt(lengthOffset, 100);
        rehash(envelope);
        assertEquals(decodeError(envelope).key(), "snapshot.length");
        ByteBuffer.wrap(envelope).putInt(lengthOffset, Integer.MAX_VALUE);
        rehash(envelope);
        assertEquals(decodeError(envelope).key(), "snapshot.length");
        ByteBuffer.wrap(envelope).putInt(lengthOffset, 11_000_000);
        rehash(envelope);
        assertEquals(decodeError(envelope).key(), "snapshot.length");
    }

    @Test
    public void invalidContentIsRejectedWithItsKey() {
        String form =
                "{\"version\":1,\"revision\":5,\"services\":[%s],\"plans\":[],"
                        + "\"routes\":[],\"tenants\":[%s]}";
        assertEquals(
                decodeError(encode(String.format(form, "", "{\"id\":3,\"plan\":\"p\"}"))).key(),
                "tenants.3.plan");
        String service = "{\"name\":\"s\"}";
        assertEquals(
                decodeError(encode(String.format(form, service + "," + service, ""))).key(),
                "services");
        assertEquals(decodeError(encode(String.format(form, "7", ""))).key(), "services[0]");
        assertEquals(
                decodeError(encode(String.format(form, "", "").replace("5", "6"))).key(),
                "revision");
        assertEquals(
                decodeError(encode(String.format(form, "", "").replace(":1,", ":2,"))).key(),
                "version");
        assertEquals(decodeError(encode("[".repeat(1000))).key(), "json");
    }

    private static byte[] encode(String json) {
        return ChecksummedEnvelope.encode(
                ChecksummedEnvelope.Kind.CONFIGURATION,
                ConfigurationFixtures.FLEET,
                5,
                json.getBytes(StandardCharsets.UTF_8));
    }

    private static void rehash(byte[] envelope) {
        int end = envelope.length - 32;
        byte[] hash = ContentHash.sha256().digest(Arrays.copyOf(envelope, end));
        System.arraycopy(hash, 0, envelope, end, hash.length);
    }

    private static InvalidConfigurationException decodeError(byte[] snapshot) {
        return expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(snapshot));
    }
}
