package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;
import static tinford.routing.RoutingFixtures.plan;
import static tinford.routing.RoutingFixtures.requestClass;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.routing.RoutingFixtures;
import tinford.routing.catalog.Catalog;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.IgnoredEvents;

/**
 * Creation of requests from the catalog in force, and replacement of the catalog. No connection is
 * opened.
 */
public class RequestCatalogTest {
    private static final RequestClass READ = requestClass("read", 8000, Idempotency.IDEMPOTENT);
    private static final RequestClass SLOW = requestClass("slow", 20_000, Idempotency.IDEMPOTENT);
    private static final Plan FREE = plan("free");
    private static final Plan PAID = plan("paid");
    private static final long TENANT = 0xabc;
    private final Set<Plan> plansInForce = new HashSet<>();
    private RequestDispatcher dispatcher;
    private ClientPool clients;

    @BeforeMethod
    public void start() throws Exception {
        dispatcher =
                new RequestDispatcher(
                        (now, batch, actions) ->
                                batch.replay(
                                        new IgnoredEvents() {
                                            @Override
                                            public void plansChanged(Set<Plan> plans) {
                                                plansInForce.addAll(plans);
                                            }
                                        }),
                        3,
                        20,
                        1 << 20);
        clients =
                new ClientPool(
                        dispatcher,
                        new Catalog(Map.of("read", READ, "slow", SLOW), Map.of("free", FREE)),
                        RoutingFixtures.clientLimits());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        dispatcher.loop().close();
    }

    private ClientRequest request(String requestClass, String plan) throws ProtocolException {
        String text =
                RoutingFixtures.command(
                        "Q.ASK",
                        String.format("%016x", TENANT),
                        "9b1f03aa5c7e2d41",
                        "c=" + requestClass + ",t=" + plan + ",d=480");
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        RespReader reader = new RespReader();
        int length = reader.parse(bytes, 0, bytes.length);
        return clients.newRequest(null, new ClientCommand(reader, bytes, 0, length), 0);
    }

    @Test
    public void requestKeepsTheRevisionItArrivedUnder() throws Exception {
        ClientRequest before = request("slow", "free");
        RequestClass read = requestClass("read", 9000, Idempotency.IDEMPOTENT);
        clients.useCatalog(
                new Catalog(
                        3,
                        Map.of("read", read),
                        Map.of("free", FREE, "paid", PAID),
                        Map.of(TENANT, PAID)));
        ClientRequest after = request("read", "free");
        assertSame(before.requestClass, SLOW);
        assertSame(before.tenant.plan, FREE);
        assertEquals(before.tenant.revision, 0);
        assertSame(after.requestClass, read);
        assertSame(
                after.tenant.plan,
                PAID,
                "a configured plan takes precedence over the one in the request");
        assertEquals(after.tenant.revision, 3);
    }

    @Test
    public void removedRequestClassIsUnknown() throws Exception {
        clients.useCatalog(new Catalog(1, Map.of("read", READ), Map.of("free", FREE), Map.of()));
        ProtocolException error =
                expectThrows(ProtocolException.class, () -> request("slow", "free"));
        assertEquals(error.getMessage(), "expected c to be one of [read]");
        assertSame(request("read", "free").requestClass, READ);
    }

    @Test
    public void tenantWithoutConfiguredPlanHasTheOneItNames() throws Exception {
        clients.useCatalog(
                new Catalog(1, Map.of("read", READ), Map.of("free", FREE), Map.of(7L, PAID)));
        assertSame(request("read", "free").tenant.plan, FREE);
        assertThrows(ProtocolException.class, () -> request("read", "paid"));
    }

    /** The length of an error line is bounded: it does not list thousands of names. */
    @Test
    public void errorOnlyCountsManyNames() {
        Map<String, RequestClass> many = new LinkedHashMap<>();
        for (int i = 0; i < 1500; i++) {
            many.put("r" + i, requestClass("r" + i, 8000, Idempotency.IDEMPOTENT));
        }
        clients.useCatalog(new Catalog(1, many, Map.of("free", FREE), Map.of()));
        ProtocolException error =
                expectThrows(ProtocolException.class, () -> request("read", "free"));
        assertEquals(error.getMessage(), "expected c to be one of 1500 names");
    }

    @Test
    public void decisionModuleLearnsThePlansInForce() throws Exception {
        dispatcher.attach(clients, null, null, null, null);
        CountDownLatch done = new CountDownLatch(1);
        dispatcher
                .loop()
                .execute(
                        () -> {
                            dispatcher.useCatalog(
                                    new Catalog(1, Map.of(), Map.of("paid", PAID), Map.of()));
                            done.countDown();
                        });
        done.await();
        assertEquals(plansInForce, Set.of(PAID));
    }
}
