package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Snapshots: whole ones come back as they were, all others are refused. */
public class SnapshotCodecTest {
    private static final int VERSION_AT = 4;
    private static final SnapshotCodec CODEC = new SnapshotCodec(Samples.FLEET);

    @Test
    public void aSnapshotComesBackAsItWas() throws Exception {
        for (Configuration each :
                List.of(
                        Configuration.EMPTY,
                        Samples.basic(),
                        Samples.large(30, 150, 20, 1400).with(77, List.of()))) {
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
    public void theSameContentHasTheSameBytes() throws Exception {
        byte[] bytes = CODEC.encode(Samples.basic());
        assertEquals(CODEC.encode(CODEC.decode(bytes)), bytes);
    }

    @Test
    public void itIsCompressed() {
        Configuration large = Samples.large(30, 150, 20, 1400);
        int size = CODEC.encode(large).length;
        assertTrue(size < 25_000, size + " bytes");
    }

    @Test
    public void tornAnywhereItIsRefused() {
        byte[] whole = CODEC.encode(Samples.basic());
        for (int length = 0; length < whole.length; length++) {
            byte[] torn = Arrays.copyOf(whole, length);
            expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(torn));
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(longer));
    }

    @Test
    public void withAnyByteChangedItIsRefused() {
        byte[] whole = CODEC.encode(Samples.basic());
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(damaged));
        }
    }

    @Test
    public void anotherFleetsIsRefused() {
        byte[] foreign = new SnapshotCodec("other").encode(Samples.basic());
        assertEquals(refusal(foreign).key(), "snapshot.fleet");
        assertEquals(refusal(foreign).expected(), "a snapshot of fleet test-fleet, not other");
    }

    @Test
    public void aLaterFormatIsRefusedAsSuch() {
        byte[] later = CODEC.encode(Samples.basic());
        later[VERSION_AT] = 2;
        assertEquals(refusal(later).key(), "snapshot.version");
    }

    @Test
    public void aDamagedOneIsToldByItsHash() {
        byte[] damaged = CODEC.encode(Samples.basic());
        damaged[damaged.length - 1] ^= 1;
        assertEquals(refusal(damaged).key(), "snapshot.hash");
    }

    @Test
    public void aHistoryIsNoConfiguration() {
        assertEquals(refusal(new RevisionHistory(Samples.FLEET).snapshot()).key(), "snapshot.kind");
    }

    @Test
    public void contentThatGrowsBeyondWhatIsToldIsRefused() {
        byte[] sealed = seal("{\"version\":1}" + " ".repeat(10_000_000));
        int lengthAt = 15 + Samples.FLEET.length();
        ByteBuffer.wrap(sealed).putInt(lengthAt, 100);
        rehash(sealed);
        assertEquals(refusal(sealed).key(), "snapshot.length");
        ByteBuffer.wrap(sealed).putInt(lengthAt, Integer.MAX_VALUE);
        rehash(sealed);
        assertEquals(refusal(sealed).key(), "snapshot.length");
        ByteBuffer.wrap(sealed).putInt(lengthAt, 11_000_000);
        rehash(sealed);
        assertEquals(refusal(sealed).key(), "snapshot.length");
    }

    @Test
    public void unsoundContentIsRefusedByKey() {
        String form =
                "{\"version\":1,\"revision\":5,\"services\":[%s],\"plans\":[],"
                        + "\"routes\":[],\"tenants\":[%s]}";
        assertEquals(
                refusal(seal(String.format(form, "", "{\"id\":3,\"plan\":\"p\"}"))).key(),
                "tenants.3.plan");
        String service = "{\"name\":\"s\"}";
        assertEquals(
                refusal(seal(String.format(form, service + "," + service, ""))).key(), "services");
        assertEquals(refusal(seal(String.format(form, "7", ""))).key(), "services[0]");
        assertEquals(
                refusal(seal(String.format(form, "", "").replace("5", "6"))).key(), "revision");
        assertEquals(
                refusal(seal(String.format(form, "", "").replace(":1,", ":2,"))).key(), "version");
        assertEquals(refusal(seal("[".repeat(1000))).key(), "json");
    }

    private static byte[] seal(String json) {
        return ChecksummedState.encode(
                ChecksummedState.Kind.CONFIGURATION,
                Samples.FLEET,
                5,
                json.getBytes(StandardCharsets.UTF_8));
    }

    private static void rehash(byte[] sealed) {
        int end = sealed.length - 32;
        byte[] hash = ContentHash.sha256().digest(Arrays.copyOf(sealed, end));
        System.arraycopy(hash, 0, sealed, end, hash.length);
    }

    private static InvalidConfigurationException refusal(byte[] snapshot) {
        return expectThrows(InvalidConfigurationException.class, () -> CODEC.decode(snapshot));
    }
}
