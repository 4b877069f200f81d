package tinford.lab.sockets;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.lab.model.ClientAttempt;
import tinford.lab.model.Simulation;
import tinford.lab.model.TokenBucket;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/**
 * Clients under an open load: each request leaves when the trace says, whatever became of those
 * before, and its time counts from then.
 */
final class ClientLoad {
    /**
     * How much longer than its timeout a client waits, ms: what comes then is late, not missing.
     */
    private static final double GRACE = 100;

    private static final double SECOND = 1000;

    private final BenchContext context;
    private final RequestRecords records;
    private final List<BenchGateway> gateways;
    private final Map<String, Plan> plans;
    private final Map<String, RequestClass> frontends;
    private final ClientFigures figures = new ClientFigures();
    private final AtomicLong ids = new AtomicLong();
    private final Map<Long, TokenBucket> quotas = new HashMap<>();
    private int maxRetries;

    /** What a client wants, through all its tries. */
    private record Wish(
            Trace.Ask asked,
            Scenario.Plan plan,
            Scenario.Frontend frontend,
            long firstId,
            int firstGateway,
            double value,
            boolean inside) {}

    /**
     * One try of it.
     *
     * @param way which of its customer's gateways, from the first one on
     * @param due when it was to leave
     */
    private record Attempt(Wish wish, long id, int way, double due) {
        String hex() {
            return BenchContext.hex(id);
        }
    }

    ClientLoad(
            BenchContext context,
            RequestRecords records,
            List<BenchGateway> gateways,
            Map<String, Plan> plans,
            Map<String, RequestClass> frontends) {
        this.context = context;
        this.records = records;
        this.gateways = gateways;
        this.plans = plans;
        this.frontends = frontends;
    }

    /** Clients whose request was denied come again so many times; none do unless this says so. */
    void maxRetries(int most) {
        maxRetries = most;
    }

    /** The first attempts and all later ones. */
    double tries() {
        return ids.get();
    }

    /**
     * Plays the trace to its end.
     *
     * @param from when it begins
     */
    Map<String, Double> play(Trace trace, double from) throws InterruptedException {
        List<Future<?>> open = new ArrayList<>();
        for (Trace.Ask asked : trace.asks()) {
            double due = from + asked.at();
            long ms = (long) (due - context.live.now());
            if (ms > 0) {
                Thread.sleep(ms);
            }
            Wish wish = wish(asked, due);
            open.add(
                    context.pool.submit(
                            () -> {
                                fulfil(wish, due);
                                return null;
                            }));
        }
        for (Future<?> one : open) {
            try {
                one.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return figures.of(tries());
    }

    private Wish wish(Trace.Ask asked, double due) {
        Scenario scenario = context.scenario;
        Scenario.Plan plan =
                scenario.plans().stream()
                        .filter(one -> one.name().equals(asked.plan()))
                        .findFirst()
                        .orElseThrow();
        Scenario.Frontend frontend =
                scenario.frontends().stream()
                        .filter(one -> one.name().equals(asked.frontend()))
                        .findFirst()
                        .orElseThrow();
        double value = frontend.value() * plan.price() * asked.units();
        boolean inside =
                quotas.computeIfAbsent(
                                asked.customer(),
                                id -> new TokenBucket(plan.rate() / SECOND, plan.burst(), due))
                        .take(asked.units(), due);
        if (inside) {
            figures.offered(value);
        }
        int firstGateway = Simulation.first(asked.customer(), scenario.gateways());
        return new Wish(asked, plan, frontend, ids.incrementAndGet(), firstGateway, value, inside);
    }

    private void fulfil(Wish wish, double due) throws InterruptedException {
        Scenario.Clients clients = context.scenario.clients();
        Random random = new Random(wish.firstId);
        ClientAnswer answer = ask(new Attempt(wish, wish.firstId, wish.asked.way(), due));
        for (int retry = 0; retry < maxRetries && answer.isDenial(); retry++) {
            double told = answer.retryAfter();
            boolean honours = told > 0 && random.nextDouble() < clients.honour();
            Thread.sleep((long) (honours ? told : clients.backoff()));
            long id = ids.incrementAndGet();
            int way = random.nextInt(clients.spread());
            answer = ask(new Attempt(wish, id, way, context.live.now()));
        }
    }

    private ClientAnswer ask(Attempt attempt) {
        Wish wish = attempt.wish;
        BenchGateway gateway = gateways.get((wish.firstGateway + attempt.way) % gateways.size());
        ClientAttempt request = request(attempt, gateway);
        records.asked(request);
        boolean unanswered = gateway.owesAnswer();
        tellAsked(attempt, gateway);
        String text = gateway.ask(command(attempt), wish.frontend.timeout() + GRACE);
        double ended = context.live.now();
        ClientAnswer answer = ClientAnswer.of(text, attempt.hex());
        tellAnswered(attempt, gateway, answer, ended);
        context.live.post(
                () -> {
                    if (answer.none() && unanswered) {
                        records.expired(request, ended);
                    } else if (!answer.none()) {
                        records.answered(request, answer.ruling(), ended);
                    }
                });
        count(attempt, answer, ended - attempt.due);
        return answer;
    }

    private ClientAttempt request(Attempt attempt, BenchGateway gateway) {
        Wish wish = attempt.wish;
        Tenant customer =
                new Tenant(
                        wish.asked.customer(),
                        plans.get(wish.plan.name()),
                        context.scenario.clients().spread(),
                        wish.firstGateway);
        ClientAttempt.Asked asked =
                new ClientAttempt.Asked(
                        customer, frontends.get(wish.frontend.name()), wish.asked.units(), 0, true);
        return new ClientAttempt(attempt.id, asked, gateway::incarnation, attempt.due, false);
    }

    private String command(Attempt attempt) {
        Wish wish = attempt.wish;
        Scenario.Effect effect = wish.frontend.effect();
        String terms =
                "c="
                        + wish.frontend.name()
                        + ",t="
                        + wish.plan.name()
                        + ",d="
                        + (long) wish.frontend.timeout()
                        + ",units="
                        + wish.asked.units()
                        + ",spread="
                        + context.scenario.clients().spread()
                        + ",first="
                        + wish.firstGateway
                        + (effect == Scenario.Effect.IDEMPOTENCY_KEY ? ",k=" + attempt.hex() : "");
        return RespConnection.command(
                effect == Scenario.Effect.IDEMPOTENT ? "Q.ASK" : "Q.DO",
                BenchContext.hex(wish.asked.customer()),
                attempt.hex(),
                terms);
    }

    private void tellAsked(Attempt attempt, BenchGateway gateway) {
        Wish wish = attempt.wish;
        context.between.tell(
                "asked",
                "req",
                attempt.hex(),
                "root",
                BenchContext.hex(wish.firstId),
                "via",
                gateway.number(),
                "customer",
                BenchContext.hex(wish.asked.customer()),
                "plan",
                wish.plan.name(),
                "frontend",
                wish.frontend.name(),
                "effect",
                wish.frontend.effect().name(),
                "timeout",
                wish.frontend.timeout(),
                "value",
                wish.value,
                "worth",
                wish.frontend.value() * wish.plan.price(),
                "inside",
                wish.inside);
    }

    private void tellAnswered(
            Attempt attempt, BenchGateway gateway, ClientAnswer answer, double ended) {
        double ms = ended - attempt.due;
        context.between.tell(
                "answered",
                "req",
                attempt.hex(),
                "via",
                gateway.number(),
                "ms",
                ms,
                "how",
                answer.kind(ms > attempt.wish.frontend.target()));
    }

    private void count(Attempt attempt, ClientAnswer answer, double ms) {
        if (answer.none()) {
            figures.unanswered();
        } else if (answer.isValue()) {
            countValue(attempt, ms);
        } else if (answer.isDenial()) {
            figures.denied();
        } else if (answer.isAbort()) {
            figures.aborted();
        } else {
            records.strange("lost: req " + attempt.hex() + " was answered " + answer.text());
        }
    }

    private void countValue(Attempt attempt, double ms) {
        Wish wish = attempt.wish;
        boolean beyond = records.beyondQuota(attempt.id);
        double cost = beyond ? wish.value * wish.plan.beyond_cost() : 0;
        if (ms > wish.frontend.target()) {
            figures.late(ms, cost);
        } else {
            double earned = wish.value * (beyond ? wish.plan.beyond_value() : 1);
            figures.passed(ms, earned - cost);
        }
    }
}
