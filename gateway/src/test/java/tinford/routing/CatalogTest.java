package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.testing.IgnoredEvents;

/** What clients may ask for, and how another catalog comes into force. No connection is opened. */
public class CatalogTest {
    private static final RequestClass READ = frontend("read", 8000);
    private static final RequestClass SLOW = frontend("slow", 20_000);
    private static final Plan FREE = plan("free");
    private static final Plan PAID = plan("paid");
    private static final long CUSTOMER = 0xabc;
    private final Set<Plan> told = new HashSet<>();
    private RequestDispatcher desk;
    private ClientPool clients;

    private static RequestClass frontend(String name, double timeout) {
        return new RequestClass(
                name,
                2000,
                timeout,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }

    private static Plan plan(String name) {
        return new Plan(name, 0, 0, 0, 1, 0, 0, 0, 0, 0);
    }

    @BeforeMethod
    public void prepare() throws Exception {
        desk =
                new RequestDispatcher(
                        (now, feed, out) ->
                                feed.replay(
                                        new IgnoredEvents() {
                                            @Override
                                            public void plansChanged(Set<Plan> plans) {
                                                told.addAll(plans);
                                            }
                                        }),
                        3,
                        20,
                        1 << 20);
        clients =
                new ClientPool(
                        desk,
                        new Catalog(Map.of("read", READ, "slow", SLOW), Map.of("free", FREE)),
                        1,
                        6,
                        15_000,
                        10,
                        1 << 20,
                        8,
                        8);
    }

    @AfterMethod(alwaysRun = true)
    public void clear() {
        desk.loop.close();
    }

    private ClientRequest exchange(String frontend, String plan) throws ProtocolException {
        String[] words = {
            "Q.ASK",
            String.format("%016x", CUSTOMER),
            "9b1f03aa5c7e2d41",
            "c=" + frontend + ",t=" + plan + ",d=480"
        };
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append("$").append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        RespReader resp = new RespReader();
        int length = resp.parse(bytes, 0, bytes.length);
        return clients.exchange(null, new ClientCommand(resp, bytes, 0, length));
    }

    @Test
    public void aRequestKeepsTheRevisionItWasAdmittedUnder() throws Exception {
        ClientRequest before = exchange("slow", "free");
        RequestClass read = frontend("read", 9000);
        clients.use(
                new Catalog(
                        3,
                        Map.of("read", read),
                        Map.of("free", FREE, "paid", PAID),
                        Map.of(CUSTOMER, PAID)));
        ClientRequest after = exchange("read", "free");
        assertSame(before.requestClass, SLOW);
        assertSame(before.tenant.plan, FREE);
        assertEquals(before.tenant.revision, 0);
        assertSame(after.requestClass, read);
        assertSame(after.tenant.plan, PAID, "the configuration's plan, whatever the client names");
        assertEquals(after.tenant.revision, 3);
    }

    @Test
    public void aRemovedRouteIsUnknownFromThenOn() throws Exception {
        clients.use(new Catalog(1, Map.of("read", READ), Map.of("free", FREE), Map.of()));
        ProtocolException gone =
                expectThrows(ProtocolException.class, () -> exchange("slow", "free"));
        assertEquals(gone.getMessage(), "expected c to be one of [read]");
        assertSame(exchange("read", "free").requestClass, READ);
    }

    @Test
    public void whoseCustomerIsNotListedHasThePlanItNames() throws Exception {
        clients.use(new Catalog(1, Map.of("read", READ), Map.of("free", FREE), Map.of(7L, PAID)));
        assertSame(exchange("read", "free").tenant.plan, FREE);
        assertThrows(ProtocolException.class, () -> exchange("read", "paid"));
    }

    /** Guards an error line against thousands of names. */
    @Test
    public void manyNamesAreOnlyCounted() {
        Map<String, RequestClass> many = new LinkedHashMap<>();
        for (int i = 0; i < 1500; i++) {
            many.put("r" + i, frontend("r" + i, 8000));
        }
        clients.use(new Catalog(1, many, Map.of("free", FREE), Map.of()));
        ProtocolException unknown =
                expectThrows(ProtocolException.class, () -> exchange("read", "free"));
        assertEquals(unknown.getMessage(), "expected c to be one of 1500 names");
    }

    @Test
    public void theDecisionsHearWhichPlansAreInForce() throws Exception {
        desk.seat(clients, null, null, null, null);
        CountDownLatch used = new CountDownLatch(1);
        desk.loop.execute(
                () -> {
                    desk.use(new Catalog(1, Map.of(), Map.of("paid", PAID), Map.of()));
                    used.countDown();
                });
        used.await();
        assertEquals(told, Set.of(PAID));
    }
}
