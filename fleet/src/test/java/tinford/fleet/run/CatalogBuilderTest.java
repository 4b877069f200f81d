package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.RequestClass;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.TenantRecord;
import tinford.routing.catalog.Catalog;

/** The catalog that a gateway serves by, built from a configuration. */
public class CatalogBuilderTest {
    private static final long HEAP = 38 << 20;

    static Change route(String name, double targetMs) {
        return new Change.PutRoute(
                new RouteRecord(
                        name,
                        "shop",
                        targetMs,
                        8000,
                        3,
                        1,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ZONE,
                        3000,
                        true));
    }

    static Change plan(String name, double perSecond) {
        return new Change.PutPlan(new PlanRecord(name, perSecond, 40, 7, 2, 0.5, 0.25, 30, 60, 5));
    }

    /** Two routes, two plans and two tenants, at revision 1. */
    static Configuration first() {
        return Configuration.EMPTY.with(
                1,
                List.of(
                        new Change.PutService(new ServiceRecord("shop")),
                        route("read", 2000),
                        route("write", 2000),
                        plan("free", 20),
                        plan("paid", 200),
                        new Change.PutTenant(new TenantRecord(5, "free")),
                        new Change.PutTenant(new TenantRecord(6, "paid"))));
    }

    private static CatalogBuilder builder() {
        return new CatalogBuilder(Set.of(), HEAP);
    }

    @Test
    public void convertsEachFieldToTheGatewaysUnits() throws Exception {
        Catalog catalog = builder().build(first());
        assertEquals(catalog.revision(), 1);
        RequestClass read = catalog.requestClasses().get("read");
        assertEquals(read.name, "read");
        assertEquals(read.latencyObjectiveMs, 2000.0);
        assertEquals(read.timeoutMs, 8000.0);
        assertEquals(read.priorityWeight, 3.0);
        assertEquals(read.lateWeight, 1.0);
        assertSame(read.idempotency, Idempotency.IDEMPOTENCY_KEY);
        assertSame(read.deduplicationScope, DeduplicationScope.ZONE);
        assertEquals(read.deduplicationWindowMs, 3000.0);
        assertEquals(read.streamed, true);
        tinford.api.Plan free = catalog.plans().get("free");
        assertEquals(free.quotaPerMs, 0.02);
        assertEquals(free.burst, 40.0);
        assertEquals(free.maxOpenRequests, 7);
        assertEquals(free.priorityWeight, 2.0);
        assertEquals(free.overQuotaWeight, 0.5);
        assertEquals(free.overQuotaCost, 0.25);
        assertEquals(free.hardLimitPerMs, 0.03);
        assertEquals(free.hardLimitBurst, 60.0);
        assertEquals(free.hardLimitSlack, 5.0);
    }

    @Test
    public void keepsTheObjectsOfWhatDidNotChange() throws Exception {
        CatalogBuilder builder = builder();
        Catalog before = builder.build(first());
        Configuration next =
                first().with(2, List.of(route("read", 1000), plan("paid", 300), plan("new", 1)));
        Catalog after = builder.build(next);
        assertNotSame(after.requestClasses().get("read"), before.requestClasses().get("read"));
        assertEquals(after.requestClasses().get("read").latencyObjectiveMs, 1000.0);
        assertSame(after.requestClasses().get("write"), before.requestClasses().get("write"));
        assertSame(after.plans().get("free"), before.plans().get("free"));
        assertNotSame(after.plans().get("paid"), before.plans().get("paid"));
        assertEquals(before.plans().get("paid").quotaPerMs, 0.2, "the one before is as it was");
    }

    @Test
    public void removesARemovedRouteAndKeepsTheOthers() throws Exception {
        CatalogBuilder builder = builder();
        Catalog before = builder.build(first());
        Catalog after = builder.build(first().with(2, List.of(new Change.RemoveRoute("read"))));
        assertFalse(after.requestClasses().containsKey("read"));
        assertSame(after.requestClasses().get("write"), before.requestClasses().get("write"));
    }

    @Test
    public void rejectsAMissingNeededRouteWithKeyAndExpectation() throws Exception {
        CatalogBuilder builder = new CatalogBuilder(Set.of("read"), HEAP);
        Catalog before = builder.build(first());
        Configuration without = first().with(2, List.of(new Change.RemoveRoute("read")));
        CatalogBuilder.UnusableConfigurationException rejection =
                expectThrows(
                        CatalogBuilder.UnusableConfigurationException.class,
                        () -> builder.build(without));
        assertEquals(
                rejection.getMessage(),
                "routes.read: expected to be there while moves.homes of the gateway names it");
        Catalog after = builder.build(first().with(3, List.of(plan("paid", 300))));
        assertSame(after.requestClasses().get("read"), before.requestClasses().get("read"));
    }

    @Test
    public void rejectsMoreTenantsThanTheHeapHolds() throws Exception {
        List<Change> many = new ArrayList<>();
        for (long id = 100; id < 1100; id++) {
            many.add(new Change.PutTenant(new TenantRecord(id, "free")));
        }
        Configuration next = first().with(2, many);
        CatalogBuilder builder = new CatalogBuilder(Set.of(), 1 << 20);
        assertEquals(builder.build(next).revision(), 2, "a thousand fit into half of a megabyte");
        for (long id = 1100; id < 2100; id++) {
            many.add(new Change.PutTenant(new TenantRecord(id, "free")));
        }
        Configuration more = first().with(3, many);
        CatalogBuilder.UnusableConfigurationException rejection =
                expectThrows(
                        CatalogBuilder.UnusableConfigurationException.class,
                        () -> builder.build(more));
        assertEquals(
                rejection.getMessage(),
                "tenants: expected at most 1024 for the heap of this gateway, not 2002");
    }
}
