package tinford.lab.scale.gateway;

import java.util.List;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Tenant;

/** Requests at a steady rate, from customers whose quotas have room, over some routes. */
public final class Traffic {
    /** A gateway's part of the deployment's peak. */
    public static final double REQUESTS_A_SECOND = 245;

    /** Gateways of the deployment. */
    public static final int GATEWAYS = 530;

    private static final double TARGET_MS = 200;
    private static final double TIMEOUT_MS = 2000;
    private static final Plan PLAN = new Plan("p", 10, 10_000, 0, 1, 0, 1, 0, 0, 1);

    private final UniformRandomProvider random;
    private final double requestsASecond;
    private final List<Tenant> customers;
    private final RequestClass frontend =
            new RequestClass(
                    "f",
                    TARGET_MS,
                    TIMEOUT_MS,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    3000,
                    false);

    /** At a gateway's part of the peak. */
    public Traffic(int customers, UniformRandomProvider random) {
        this(customers, REQUESTS_A_SECOND, random);
    }

    public Traffic(int customers, double requestsASecond, UniformRandomProvider random) {
        this.random = random;
        this.requestsASecond = requestsASecond;
        this.customers =
                LongStream.range(0, customers)
                        .mapToObj(id -> new Tenant(id, PLAN, GATEWAYS, 0))
                        .toList();
    }

    public double requestsASecond() {
        return requestsASecond;
    }

    /** One request of a customer drawn by chance. */
    public void request(DrivenGateway gateway) {
        request(gateway, random.nextInt(customers.size()));
    }

    /** One request of this customer. */
    public void request(DrivenGateway gateway, int customer) {
        gateway.request(customers.get(customer), frontend, 1);
    }

    /** So many requests at the steady rate, with the time between them. */
    public void play(DrivenGateway gateway, int requests) {
        for (int i = 0; i < requests; i++) {
            request(gateway);
            gateway.pass(1000 / requestsASecond);
        }
    }
}
