package tinford.decision;

import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.FAIL_OPEN_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.increments;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;
import tinford.decision.DecisionFixture.CounterIncrement;

/** Calls are spaced out if the shared counter can handle fewer calls than there are requests. */
public class CounterPacerTest {
    /** With two of three calls unanswered, fewer calls are made and all units are still counted. */
    @Test
    public void unansweredCallsAreSpacedOutWithoutLosingUnits() {
        DecisionFixture gateway = new DecisionFixture();
        Random random = new Random(1);
        double requested = 0;
        double counted = 0;
        long lateCalls = 0;
        for (int i = 0; i < 400; i++) {
            int tenantId = i < 4 ? i : random.nextInt(4);
            Request request =
                    gateway.request(new Tenant(tenantId, FAIL_OPEN_PLAN, 2, 0), READ, 0.01);
            List<String> actions = gateway.arrive(request);
            boolean answered = i < 4 || i % 3 == 0;
            List<String> batch = actions;
            while (!increments(batch).isEmpty()) {
                for (CounterIncrement call : increments(batch)) {
                    counted += call.amount();
                    lateCalls += i >= 200 ? 1 : 0;
                }
                batch =
                        answered
                                ? gateway.answerCounter(batch, 0, counted)
                                : gateway.failCounterCalls(AttemptOutcome.TIMED_OUT);
                actions.addAll(batch);
            }
            requested += 0.01;
            if (attempts(actions) > 0) {
                gateway.succeed(request);
            }
            gateway.advance(10);
        }
        assertTrue(lateCalls >= 4 && lateCalls < 120, "calls: " + lateCalls);
        assertTrue(
                Math.abs(requested - counted) < 1.2,
                "units requested: " + requested + ", counted: " + counted);
    }

    /** A counter that handles one call per 20 ms, in order, and answers every call. */
    private static final class SlowCounter {
        private static final double SERVICE_TIME_MS = 20;
        private static final double TIMEOUT_MS = 50;

        private record Call(long counterKey, double sentAtMs, double answeredAtMs) {
            boolean isLate(double nowMs) {
                return nowMs - sentAtMs >= TIMEOUT_MS;
            }
        }

        private final List<Call> queue = new ArrayList<>();
        private double idleAtMs;
        private long calls;
        private long missedCalls;

        void send(long counterKey, double nowMs) {
            idleAtMs = Math.max(idleAtMs, nowMs) + SERVICE_TIME_MS;
            queue.add(new Call(counterKey, nowMs, idleAtMs));
        }

        /** Ends the calls that have been answered or have timed out, and returns the actions. */
        List<String> answer(DecisionFixture gateway, boolean measured) {
            List<String> actions = new ArrayList<>();
            for (Call call : List.copyOf(queue)) {
                boolean late = call.isLate(gateway.nowMs);
                if (!late && gateway.nowMs < call.answeredAtMs()) {
                    continue;
                }
                queue.remove(call);
                missedCalls += late && measured ? 1 : 0;
                AttemptOutcome outcome = late ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCESS;
                actions.addAll(
                        gateway.handle(
                                events ->
                                        events.counterAnswered(
                                                call.counterKey(),
                                                outcome,
                                                gateway.nowMs - call.sentAtMs(),
                                                0.01)));
            }
            return actions;
        }
    }

    @Test
    public void queueAtASlowCounterStaysShorterThanTheTimeout() {
        DecisionFixture gateway = new DecisionFixture();
        SlowCounter counter = new SlowCounter();
        Map<Long, Request> requests = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            boolean measured = i > 10_000;
            List<String> actions = i % 50 == 0 ? gateway.advance(0.001) : new ArrayList<>();
            if (i % 5 == 0) {
                Tenant tenant = new Tenant(i % 2000, FAIL_CLOSED_PLAN, 2, 0);
                Request request = gateway.request(tenant, READ, 0.01);
                requests.put(request.id, request);
                actions.addAll(gateway.arrive(request));
            }
            actions.addAll(counter.answer(gateway, measured));
            for (String action : actions) {
                if (action.startsWith(DecisionFixture.ATTEMPT)) {
                    gateway.succeed(requests.get(Long.parseLong(action.split(" ")[1])));
                }
                for (CounterIncrement call : increments(List.of(action))) {
                    counter.send(call.counterKey(), gateway.nowMs);
                    counter.calls += measured ? 1 : 0;
                }
            }
            gateway.nowMs++;
        }
        assertTrue(
                counter.calls > 300 && counter.missedCalls < 0.15 * counter.calls,
                counter.missedCalls + " of " + counter.calls + " calls timed out");
    }

    /** A fail-open tenant's requests are admitted with or without a total. */
    @Test
    public void limitedCallsGoToFailClosedPlans() {
        DecisionFixture gateway = new DecisionFixture();
        long failOpenCalls = 0;
        long failClosedCalls = 0;
        double lastAnsweredMs = 0;
        for (int i = 0; i < 800; i++) {
            boolean failOpen = i % 2 == 1;
            Plan plan = failOpen ? FAIL_OPEN_PLAN : FAIL_CLOSED_PLAN;
            Request request = gateway.request(new Tenant(i % 40, plan, 10, 0), READ, 0.01);
            List<String> actions = gateway.arrive(request);
            // the counter handles one call per 20 ms, a request arrives every 5 ms
            boolean answered = gateway.nowMs - lastAnsweredMs >= 20;
            if (!increments(actions).isEmpty()) {
                if (answered) {
                    lastAnsweredMs = gateway.nowMs;
                }
                int counted = i >= 200 ? 1 : 0;
                failOpenCalls += failOpen ? counted : 0;
                failClosedCalls += failOpen ? 0 : counted;
            }
            List<String> batch = actions;
            while (!increments(batch).isEmpty()) {
                batch =
                        answered
                                ? gateway.answerCounter(batch, 0, 1)
                                : gateway.failCounterCalls(AttemptOutcome.TIMED_OUT);
                actions.addAll(batch);
            }
            if (attempts(actions) > 0) {
                gateway.succeed(request);
            }
            gateway.advance(5);
        }
        assertTrue(
                failClosedCalls > 3 * failOpenCalls,
                failClosedCalls + " fail-closed, " + failOpenCalls + " fail-open");
    }
}
