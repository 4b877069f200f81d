package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** Valid JSON is encoded and decoded unchanged; invalid JSON is rejected with its key. */
public class ConfigurationCodecTest {
    private static final String OPEN = "{\"version\":1,\"id\":\"a\",\"changes\":[";
    private static final String CLOSE = "]}";

    @DataProvider
    public Object[][] proposals() {
        RouteRecord keyed =
                new RouteRecord(
                        "r",
                        "s",
                        0.1,
                        1e-3 + 0.2,
                        1 / 3.0,
                        Double.MIN_VALUE,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ZONE,
                        12_345.678,
                        true);
        return new Object[][] {
            {new Revert("back", 7)},
            {new ChangeSet("empty", null, List.of())},
            {new ChangeSet("all", 3L, ConfigurationFixtures.basicChanges())},
            {ConfigurationFixtures.changeSet("keyed", new Change.PutRoute(keyed))},
            {
                ConfigurationFixtures.changeSet(
                        "removals",
                        new Change.RemoveService("s"),
                        new Change.RemoveRoute("r"),
                        new Change.RemovePlan("p"),
                        new Change.RemoveTenant(Long.MIN_VALUE))
            },
        };
    }

    @Test(dataProvider = "proposals")
    public void proposalIsUnchangedByEncodingAndDecoding(Proposal proposal) throws Exception {
        byte[] json = ConfigurationCodec.encode(proposal);
        assertEquals(ConfigurationCodec.decodeProposal(json), proposal);
        assertFalse(text(json).contains("\n"), "more than one line");
    }

    @Test
    public void encodedFormsMatchTheDocumentation() {
        assertEquals(
                text(
                        ConfigurationCodec.encode(
                                new ChangeSet(
                                        "a",
                                        4L,
                                        List.of(ConfigurationFixtures.putTenant(5, "p"))))),
                "{\"version\":1,\"id\":\"a\",\"expectedRevision\":4,"
                        + "\"changes\":[{\"putTenant\":{\"id\":5,\"plan\":\"p\"}}]}");
        assertEquals(
                text(ConfigurationCodec.encode(new Revert("b", 2))),
                "{\"version\":1,\"id\":\"b\",\"revertTo\":2}");
        Update update = new Update(5, 6, List.of(new Change.RemoveRoute("r")));
        assertEquals(
                text(ConfigurationCodec.encode(new WatchMessage.UpdateMessage(update))),
                "{\"version\":1,\"update\":{\"from\":5,\"revision\":6,"
                        + "\"changes\":[{\"removeRoute\":{\"name\":\"r\"}}]}}");
        assertEquals(
                text(
                        ConfigurationCodec.encode(
                                new WatchMessage.SnapshotMessage(6, new byte[] {1, 2}))),
                "{\"version\":1,\"snapshot\":{\"revision\":6,\"data\":\"AQI=\"}}");
        assertEquals(
                text(ConfigurationCodec.encode(new FollowerReport("g", "east", 6, null))),
                "{\"version\":1,\"follower\":\"g\",\"region\":\"east\",\"revision\":6}");
        assertEquals(
                text(ConfigurationCodec.encode(new Outcome.Accepted(6))),
                "{\"version\":1,\"revision\":6}");
        Rejection rejection = new Rejection(List.of(new ValidationError("k", "e")));
        assertEquals(
                text(ConfigurationCodec.encode(new Outcome.Rejected(rejection))),
                "{\"version\":1,\"faults\":[{\"key\":\"k\",\"expected\":\"e\"}]}");
    }

    @Test
    public void outcomesReportsAndMessagesAreUnchangedByEncodingAndDecoding() throws Exception {
        Outcome accepted = new Outcome.Accepted(9);
        Outcome rejected =
                new Outcome.Rejected(new Rejection(List.of(new ValidationError("k", "\"e\" \\"))));
        assertEquals(
                ConfigurationCodec.decodeOutcome(ConfigurationCodec.encode(accepted)), accepted);
        assertEquals(
                ConfigurationCodec.decodeOutcome(ConfigurationCodec.encode(rejected)), rejected);
        FollowerReport report = new FollowerReport("g-1", "east", 3, "routes.r: no");
        assertEquals(ConfigurationCodec.decodeReport(ConfigurationCodec.encode(report)), report);
        WatchMessage update =
                new WatchMessage.UpdateMessage(
                        new Update(0, 1, ConfigurationFixtures.basicChanges()));
        assertEquals(
                ConfigurationCodec.decodeWatchMessage(ConfigurationCodec.encode(update)), update);
        byte[] data = new byte[100_000];
        new Random(1).nextBytes(data);
        WatchMessage.SnapshotMessage snapshot =
                (WatchMessage.SnapshotMessage)
                        ConfigurationCodec.decodeWatchMessage(
                                ConfigurationCodec.encode(
                                        new WatchMessage.SnapshotMessage(4, data)));
        assertEquals(snapshot.revision(), 4);
        assertEquals(snapshot.data(), data);
    }

    @Test
    public void omittedRouteFieldsHaveDefaults() throws Exception {
        String json =
                "{\"putRoute\":{\"name\":\"r\",\"service\":\"s\",\"timeoutMs\":400,"
                        + "\"effect\":\"%s\"}}";
        assertEquals(
                decodeOne(String.format(json, "read_like")),
                new Change.PutRoute(
                        new RouteRecord(
                                "r",
                                "s",
                                400,
                                400,
                                1,
                                0,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                false)));
        assertEquals(
                decodeOne(String.format(json, "idempotency_key")),
                new Change.PutRoute(
                        new RouteRecord(
                                "r",
                                "s",
                                400,
                                400,
                                1,
                                0,
                                Idempotency.IDEMPOTENCY_KEY,
                                DeduplicationScope.CELL,
                                0,
                                false)));
    }

    @DataProvider
    public Object[][] badProposals() {
        return new Object[][] {
            {"", "json"},
            {"null", "json"},
            {"[]", "json"},
            {"{\"version\":1,\"id\":\"a\"", "json"},
            {"{\"version\":1,\"id\":\"a\",\"changes\":[]} x", "json"},
            {"{\"version\":1,\"version\":1,\"id\":\"a\",\"changes\":[]}", "json"},
            {"{\"id\":\"a\",\"changes\":[]}", "version"},
            {"{\"version\":2,\"id\":\"a\",\"changes\":[]}", "version"},
            {"{\"version\":0,\"id\":\"a\",\"changes\":[]}", "version"},
            {"{\"version\":\"1\",\"id\":\"a\",\"changes\":[]}", "version"},
            {"{\"version\":1,\"changes\":[]}", "id"},
            {"{\"version\":1,\"id\":7,\"changes\":[]}", "id"},
            {"{\"version\":1,\"id\":\"a\"}", "changes"},
            {"{\"version\":1,\"id\":\"a\",\"changes\":{}}", "changes"},
            {"{\"version\":1,\"id\":\"a\",\"changes\":[3]}", "changes[0]"},
            {"{\"version\":1,\"id\":\"a\",\"changes\":[],\"more\":1}", "more"},
            {"{\"version\":1,\"id\":\"a\",\"revertTo\":1,\"changes\":[]}", "changes"},
            {"{\"version\":1,\"id\":\"a\",\"revertTo\":-1}", "revertTo"},
            {"{\"version\":1,\"id\":\"a\",\"revertTo\":1.5}", "revertTo"},
            {
                "{\"version\":1,\"id\":\"a\",\"expectedRevision\":\"1\",\"changes\":[]}",
                "expectedRevision"
            },
            {OPEN + "{}" + CLOSE, "changes[0]"},
            {OPEN + "{\"putTenant\":{},\"putPlan\":{}}" + CLOSE, "changes[0]"},
            {OPEN + "{\"dropAll\":{}}" + CLOSE, "changes[0].dropAll"},
            {OPEN + "{\"putTenant\":7}" + CLOSE, "changes[0].putTenant"},
            {OPEN + "{\"putTenant\":{\"id\":1}}" + CLOSE, "changes[0].putTenant.plan"},
            {
                OPEN + "{\"putTenant\":{\"id\":1.5,\"plan\":\"p\"}}" + CLOSE,
                "changes[0].putTenant.id"
            },
            {
                OPEN + "{\"putTenant\":{\"id\":9223372036854775808,\"plan\":\"p\"}}" + CLOSE,
                "changes[0].putTenant.id"
            },
            {
                OPEN + "{\"putTenant\":{\"id\":1,\"plan\":\"p\",\"note\":\"x\"}}" + CLOSE,
                "changes[0].putTenant.note"
            },
            {
                OPEN + "{\"putPlan\":{\"name\":\"p\",\"maxOpen\":3000000000}}" + CLOSE,
                "changes[0].putPlan.maxOpen"
            },
            {
                OPEN + "{\"putPlan\":{\"name\":\"p\",\"burst\":\"5\"}}" + CLOSE,
                "changes[0].putPlan.burst"
            },
            {OPEN + "{\"putPlan\":{\"name\":\"p\",\"burst\":NaN}}" + CLOSE, "json"},
            {
                OPEN
                        + "{\"putRoute\":{\"name\":\"r\",\"service\":\"s\",\"timeoutMs\":1,"
                        + "\"effect\":\"maybe\"}}"
                        + CLOSE,
                "changes[0].putRoute.effect"
            },
            {
                OPEN
                        + "{\"putRoute\":{\"name\":\"r\",\"service\":\"s\",\"timeoutMs\":1,"
                        + "\"effect\":\"read_like\",\"group\":\"planet\"}}"
                        + CLOSE,
                "changes[0].putRoute.group"
            },
            {
                OPEN
                        + "{\"putRoute\":{\"name\":\"r\",\"service\":\"s\",\"timeoutMs\":1,"
                        + "\"effect\":\"read_like\",\"streamed\":1}}"
                        + CLOSE,
                "changes[0].putRoute.streamed"
            },
            {OPEN + "{\"putService\":{\"name\":\"" + "x".repeat(513) + "\"}}" + CLOSE, "json"},
            {OPEN + "{\"" + "k".repeat(65) + "\":{}}" + CLOSE, "json"},
            {OPEN + "[".repeat(17) + "]".repeat(17) + CLOSE, "json"},
            {OPEN + "[".repeat(100_000), "json"},
        };
    }

    @Test(dataProvider = "badProposals")
    public void invalidProposalIsRejectedWithItsKey(String json, String key) {
        InvalidConfigurationException rejected =
                expectThrows(
                        InvalidConfigurationException.class,
                        () -> ConfigurationCodec.decodeProposal(bytes(json)));
        assertEquals(rejected.key(), key, rejected.getMessage());
        assertFalse(rejected.expected().isBlank());
        assertEquals(rejected.error().toString().lines().count(), 1);
    }

    @Test
    public void oversizedProposalIsRejectedBeforeParsing() {
        byte[] large = new byte[ConfigurationLimits.MAX_PROPOSAL_BYTES + 1];
        InvalidConfigurationException rejected =
                expectThrows(
                        InvalidConfigurationException.class,
                        () -> ConfigurationCodec.decodeProposal(large));
        assertEquals(rejected.expected(), "at most 500000 bytes, not 500001");
    }

    @Test
    public void proposalTruncatedAnywhereIsRejected() {
        byte[] whole =
                ConfigurationCodec.encode(
                        new ChangeSet("all", 3L, ConfigurationFixtures.basicChanges()));
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            expectThrows(
                    InvalidConfigurationException.class,
                    () -> ConfigurationCodec.decodeProposal(cut));
        }
    }

    @DataProvider
    public Object[][] badWatchMessages() {
        return new Object[][] {
            {"{\"version\":1}", "update"},
            {
                "{\"version\":1,\"update\":{\"from\":5,\"revision\":5,\"changes\":[]}}",
                "update.revision"
            },
            {
                "{\"version\":1,\"update\":{\"from\":-1,\"revision\":5,\"changes\":[]}}",
                "update.from"
            },
            {"{\"version\":1,\"update\":{\"from\":1,\"revision\":2}}", "update.changes"},
            {"{\"version\":1,\"snapshot\":{\"revision\":5,\"data\":\"%\"}}", "snapshot.data"},
            {"{\"version\":1,\"snapshot\":{\"revision\":5}}", "snapshot.data"},
            {"{\"version\":9,\"snapshot\":{\"revision\":5,\"data\":\"\"}}", "version"},
        };
    }

    @Test(dataProvider = "badWatchMessages")
    public void invalidWatchMessageIsRejectedWithItsKey(String json, String key) {
        InvalidConfigurationException rejected =
                expectThrows(
                        InvalidConfigurationException.class,
                        () -> ConfigurationCodec.decodeWatchMessage(bytes(json)));
        assertEquals(rejected.key(), key, rejected.getMessage());
    }

    @Test
    public void reportNeedsNamesAndIsBounded() {
        for (String bad :
                List.of(
                        "{\"version\":1,\"follower\":\"a b\",\"region\":\"r\",\"revision\":1}",
                        "{\"version\":1,\"follower\":\"a\",\"region\":\"\",\"revision\":1}",
                        "{\"version\":1,\"follower\":\"a\",\"region\":\"r\",\"revision\":-1}",
                        "{\"version\":1,\"follower\":\"a\",\"region\":\"r\"}",
                        " ".repeat(5000))) {
            expectThrows(
                    InvalidConfigurationException.class,
                    () -> ConfigurationCodec.decodeReport(bytes(bad)));
        }
    }

    @Test
    public void longRejectionReasonIsTruncatedInReport() throws Exception {
        FollowerReport report = new FollowerReport("g", "east", 1, "x\n".repeat(2000));
        FollowerReport read = ConfigurationCodec.decodeReport(ConfigurationCodec.encode(report));
        assertEquals(read.rejectionReason().length(), ConfigurationLimits.MAX_TEXT_LENGTH);
    }

    @Test
    public void randomBytesNeverCauseUncheckedExceptions() {
        Random random = new Random(5);
        byte[] whole =
                ConfigurationCodec.encode(
                        new ChangeSet("all", 3L, ConfigurationFixtures.basicChanges()));
        int rejections = 0;
        for (int i = 0; i < 3000; i++) {
            byte[] bytes = whole.clone();
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                ConfigurationCodec.decodeProposal(bytes);
            } catch (InvalidConfigurationException e) {
                rejections++;
            }
        }
        assertTrue(rejections > 1000, "rejected " + rejections);
    }

    private static Change decodeOne(String change) throws InvalidConfigurationException {
        Proposal proposal = ConfigurationCodec.decodeProposal(bytes(OPEN + change + CLOSE));
        return ((ChangeSet) proposal).changes().get(0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
