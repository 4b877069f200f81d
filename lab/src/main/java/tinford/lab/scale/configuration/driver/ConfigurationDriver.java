package tinford.lab.scale.configuration.driver;

import java.util.ArrayList;
import java.util.List;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.TenantRecord;
import tinford.fleet.config.Update;
import tinford.fleet.config.ValidationError;
import tinford.fleet.config.Validator;
import tinford.fleet.config.WatchMessage;
import tinford.lab.scale.configuration.ConfigurationState;

/**
 * A configuration in the deployment's proportions: 14,000 tenants to 1,500 routes, 300 services.
 */
public final class ConfigurationDriver implements ConfigurationState {
    private static final int TENANTS_A_ROUTE = 14_000 / 1_500;
    private static final int TENANTS_A_SERVICE = 14_000 / 300;
    private static final int PLANS = 20;

    /** Ids of one length, spread as hashes are. */
    private static final long FIRST_TENANT = 1_000_000_000_000_000_000L;

    private static final long TENANT_STEP = 7_919_000_027L;
    private static final String UNUSED_PLAN = "plan-unused";

    private final SnapshotCodec codec = new SnapshotCodec("scale");
    private final Configuration configuration;
    private final List<Change> moveOneTenant;
    private Configuration decoded;

    public ConfigurationDriver(int tenants) {
        configuration = Configuration.EMPTY.with(1, content(tenants));
        moveOneTenant = List.of(tenant(tenants / 2, 1 + tenants / 2));
    }

    @Override
    public void changeTenant() {
        expectSound(Validator.check(configuration, moveOneTenant));
        decoded = configuration.with(2, moveOneTenant);
    }

    @Override
    public void removePlan() {
        List<Change> removal = List.of(new Change.RemovePlan(UNUSED_PLAN));
        expectSound(Validator.check(configuration, removal));
        decoded = configuration.with(2, removal);
    }

    @Override
    public void validateWhole() {
        expectSound(Validator.check(configuration));
    }

    @Override
    public int updateLineBytes() {
        Update update = new Update(1, 2, moveOneTenant);
        return ConfigurationCodec.encode(new WatchMessage.UpdateMessage(update)).length;
    }

    @Override
    public byte[] encodeSnapshot() {
        return codec.encode(configuration);
    }

    @Override
    public void decodeSnapshot(byte[] snapshot) {
        try {
            decoded = codec.decode(snapshot);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException("a snapshot is refused", e);
        }
        if (decoded.contentHash() != configuration.contentHash()) {
            throw new IllegalStateException("a snapshot has other content");
        }
    }

    private static void expectSound(List<ValidationError> faults) {
        if (!faults.isEmpty()) {
            throw new IllegalStateException(faults.toString());
        }
    }

    private static List<Change> content(int tenants) {
        List<Change> changes = new ArrayList<>();
        int services = Math.max(1, tenants / TENANTS_A_SERVICE);
        for (int i = 0; i < services; i++) {
            changes.add(new Change.PutService(new ServiceRecord("service-" + i)));
        }
        int routes = tenants / TENANTS_A_ROUTE;
        for (int i = 0; i < routes; i++) {
            changes.add(new Change.PutRoute(route(i, services)));
        }
        for (int i = 0; i < PLANS; i++) {
            changes.add(new Change.PutPlan(plan("plan-" + i, i)));
        }
        changes.add(new Change.PutPlan(plan(UNUSED_PLAN, PLANS)));
        for (int i = 0; i < tenants; i++) {
            changes.add(tenant(i, i));
        }
        return changes;
    }

    private static RouteRecord route(int number, int services) {
        double timeoutMs = 200 + 10 * (number % 50);
        return new RouteRecord(
                "route-" + number,
                "service-" + number % services,
                timeoutMs / 4,
                timeoutMs,
                1 + number % 7,
                0.25,
                number % 3 == 0 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                number % 10 == 0);
    }

    private static PlanRecord plan(String name, int number) {
        double rate = 10 * (1 + number);
        return new PlanRecord(name, rate, 2 * rate, 32, 1, 0.5, 0.1, 4 * rate, 8 * rate, 2);
    }

    private static Change tenant(int number, int plan) {
        long id = FIRST_TENANT + number * TENANT_STEP;
        return new Change.PutTenant(new TenantRecord(id, "plan-" + plan % PLANS));
    }
}
