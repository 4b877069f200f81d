package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Configurations are immutable values with a content hash. */
public class ConfigurationTest {
    @Test
    public void changeLeavesEarlierRevisionUntouched() {
        Configuration first = ConfigurationFixtures.basicConfiguration();
        Configuration second = first.with(2, List.of(new Change.RemoveRoute("lookup")));
        assertEquals(first.revision(), 1);
        assertEquals(first.routes().size(), 1);
        assertEquals(second.revision(), 2);
        assertEquals(second.routes().size(), 0);
    }

    @Test
    public void unchangedMapsAreShared() {
        Configuration first = ConfigurationFixtures.basicConfiguration();
        Configuration second = first.with(2, List.of(ConfigurationFixtures.putTenant(2, "team")));
        assertSame(second.services(), first.services());
        assertSame(second.routes(), first.routes());
        assertSame(second.plans(), first.plans());
        assertSame(second.tenants().get(1L), first.tenants().get(1L));
    }

    @Test
    public void lastChangeOfARecordWins() {
        Configuration result =
                ConfigurationFixtures.basicConfiguration()
                        .with(
                                2,
                                List.of(
                                        ConfigurationFixtures.putPlan("other", 1),
                                        new Change.RemovePlan("other"),
                                        ConfigurationFixtures.putTenant(1, "a"),
                                        ConfigurationFixtures.putTenant(1, "b")));
        assertEquals(result.plans().size(), 1);
        assertEquals(result.tenants().get(1L), new TenantRecord(1, "b"));
    }

    @Test
    public void iteratesInKeyOrder() {
        Configuration many =
                Configuration.EMPTY.with(
                        1,
                        List.of(
                                ConfigurationFixtures.putTenant(9, "p"),
                                ConfigurationFixtures.putTenant(-4, "p"),
                                ConfigurationFixtures.putTenant(3, "p")));
        assertEquals(new ArrayList<>(many.tenants().keySet()), List.of(-4L, 3L, 9L));
    }

    @Test
    public void hashDependsOnContentAndNotOnHistory() {
        Configuration basic = ConfigurationFixtures.basicConfiguration();
        List<Change> aside =
                List.of(
                        ConfigurationFixtures.putPlan("other", 3),
                        ConfigurationFixtures.putTenant(1, "other"));
        Configuration changed = basic.with(2, aside);
        Configuration back = changed.with(3, changed.changesTo(basic));
        assertNotEquals(changed.contentHash(), basic.contentHash());
        assertEquals(back.contentHash(), basic.contentHash());
        assertEquals(Configuration.EMPTY.contentHash(), 0);
        assertEquals(
                Configuration.of(
                                1,
                                basic.services().values(),
                                basic.routes().values(),
                                basic.plans().values(),
                                basic.tenants().values())
                        .contentHash(),
                basic.contentHash());
    }

    @Test
    public void hashIsTheSameInEveryProcess() {
        assertEquals(
                Long.toHexString(ConfigurationFixtures.basicConfiguration().contentHash()),
                "3118fbba8b6ab96a",
                "hash changed: processes of different versions could not be compared");
    }

    @Test
    public void changesToAnotherConfigurationLeadToItsContent() {
        Random random = new Random(7);
        Configuration from = Configuration.EMPTY;
        for (int i = 0; i < 300; i++) {
            Configuration to = draw(random, i + 1);
            Configuration reached = from.with(to.revision(), from.changesTo(to));
            assertEquals(reached.services(), to.services());
            assertEquals(reached.routes(), to.routes());
            assertEquals(reached.plans(), to.plans());
            assertEquals(reached.tenants(), to.tenants());
            assertEquals(reached.contentHash(), to.contentHash());
            assertTrue(to.changesTo(to).isEmpty());
            from = to;
        }
    }

    private static Configuration draw(Random random, long revision) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            if (random.nextBoolean()) {
                changes.add(ConfigurationFixtures.putService("s" + i));
                changes.add(ConfigurationFixtures.putRoute("r" + i, "s" + random.nextInt(6)));
            }
            if (random.nextBoolean()) {
                changes.add(ConfigurationFixtures.putPlan("p" + i, random.nextInt(3)));
                changes.add(ConfigurationFixtures.putTenant(i, "p" + random.nextInt(6)));
            }
        }
        return Configuration.EMPTY.with(revision, changes);
    }
}
