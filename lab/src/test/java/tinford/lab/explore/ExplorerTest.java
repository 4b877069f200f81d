package tinford.lab.explore;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.migration.LeaseHolders;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationStep;
import tinford.fleet.migration.TransitionRules;

/** Exhaustive exploration of small plans of staged moves. */
public class ExplorerTest {
    @DataProvider
    public Object[][] told() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "told")
    public void nothingThatCanHappenBreaksAPromise(boolean told) {
        holds(told, told ? 100_000 : 25_000); // whole, and the first part
    }

    @Test(dataProvider = "told", groups = "long")
    public void nothingAtAllBreaksAPromise(boolean told) {
        holds(told, Integer.MAX_VALUE);
    }

    private static void holds(boolean told, int most) {
        ExplorationSettings settings = new ExplorationSettings();
        settings.retriesTold = told;
        settings.gateways = 2;
        settings.maxFaults = 0;
        settings.maxHalts = 0;
        settings.maxStates = most;
        ExplorationResult result = new Explorer(settings).run();
        assertNull(result.broken(), result.broken() + " " + result.story());
        assertTrue(
                result.ends() > 0 || result.states() >= settings.maxStates,
                result.states() + " states, none an end");
    }

    private static Consumer<ExplorationSettings> rules(TransitionRules rules) {
        return settings -> settings.rules = rules;
    }

    @DataProvider
    public Object[][] broken() {
        return new Object[][] {
            {
                "acks not awaited",
                "two living",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean allAcknowledged(
                                    LeaseHolders m, Map<Incarnation, Double> acks, double since) {
                                return true;
                            }
                        })
            },
            {
                "acks of another turn count",
                "",
                ((Consumer<ExplorationSettings>) settings -> settings.acksInFlight = true)
                        .andThen(
                                rules(
                                        new TransitionRules() {
                                            @Override
                                            public boolean isCurrentEpoch(long turn, long of) {
                                                return true;
                                            }
                                        }))
            },
            {
                "the end of a lease counted too early",
                "",
                (Consumer<ExplorationSettings>)
                        settings -> {
                            settings.countedClockSkew = -1;
                            settings.gateways = 3;
                            settings.maxFaults = 1;
                        }
            },
            {
                "one that has died is waited for",
                "stuck",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean allAcknowledged(
                                    LeaseHolders m, Map<Incarnation, Double> acks, double since) {
                                return super.allAcknowledged(m, acks, since) && acks.size() > 2;
                            }
                        })
            },
            {
                "two steps at once",
                "from step",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean isNextStep(int from, int to, boolean back) {
                                return super.isNextStep(from, to, back) || !back && to == from + 2;
                            }
                        })
            },
            {
                "back in forward order",
                "forward",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean isNextStep(int from, int to, boolean back) {
                                return to == from + 1 || back && to == from - 1;
                            }
                        })
            },
            {
                "back all at once",
                "from step",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean isNextStep(int from, int to, boolean back) {
                                return back ? to < from : to == from + 1;
                            }
                        })
            },
            {
                "going back waits for nobody",
                "",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean isReturn(int before, int position, int to) {
                                return to < position;
                            }
                        })
            },
            {
                "no window awaited",
                "both groups",
                rules(
                        new TransitionRules() {
                            @Override
                            public double waitMs(MigrationPlan plan, int at, boolean back) {
                                return 0;
                            }
                        })
            },
            {
                "a resume moves on",
                "halted",
                rules(
                        new TransitionRules() {
                            @Override
                            public int stepAfterResume(int position) {
                                return position + 1;
                            }
                        })
            },
            {
                "a resume lifts any halt",
                "later halt",
                rules(
                        new TransitionRules() {
                            @Override
                            public boolean liftsHalt(boolean halted, long halts, long seen) {
                                return halted;
                            }
                        })
            },
            {
                "routed without a lease",
                "",
                ((Consumer<ExplorationSettings>) settings -> settings.maxFaults = 1)
                        .andThen(
                                settings ->
                                        settings.routes =
                                                (incarnation, status) ->
                                                        new MigrationRouter(
                                                                incarnation, status, 1) {
                                                            @Override
                                                            public boolean hasLease(double now) {
                                                                return true;
                                                            }
                                                        })
            },
            {
                "a key is not kept",
                "both groups",
                (Consumer<ExplorationSettings>)
                        settings ->
                                settings.routes =
                                        (incarnation, status) ->
                                                new MigrationRouter(incarnation, status, 1) {
                                                    @Override
                                                    protected String targetGroup(
                                                            MigrationPlan.FrontendMigration m,
                                                            MigrationStep.FrontendShare part,
                                                            double at,
                                                            boolean retry) {
                                                        return at < part.movingShare()
                                                                        && part.phase()
                                                                                != MigrationStep
                                                                                        .Phase.HOLD
                                                                ? m.targetGroup()
                                                                : m.sourceGroup();
                                                    }
                                                }
            },
            {
                "a told retry is taken for a first try",
                "both groups",
                ((Consumer<ExplorationSettings>) settings -> settings.retriesTold = true)
                        .andThen(
                                settings ->
                                        settings.routes =
                                                (incarnation, status) ->
                                                        new MigrationRouter(
                                                                incarnation, status, 1) {
                                                            @Override
                                                            protected String targetGroup(
                                                                    MigrationPlan.FrontendMigration
                                                                            m,
                                                                    MigrationStep.FrontendShare
                                                                            part,
                                                                    double at,
                                                                    boolean retry) {
                                                                return super.targetGroup(
                                                                        m, part, at, false);
                                                            }
                                                        })
            },
            {
                "a lease counted from the answer",
                "",
                (Consumer<ExplorationSettings>) settings -> settings.leaseFromAnswer = true
            },
            {
                "a grant acted on before what came ahead of it",
                "",
                (Consumer<ExplorationSettings>) settings -> settings.grantFirst = true
            },
            {
                "what is needed left out of the order",
                "what it needs",
                (Consumer<ExplorationSettings>)
                        settings -> {
                            settings.needs = false;
                            settings.stages = 2;
                        }
            },
        };
    }

    @Test(dataProvider = "broken")
    public void brokenRulesAreFound(String name, String how, Consumer<ExplorationSettings> breaks) {
        ExplorationSettings settings = new ExplorationSettings();
        settings.gateways = 2;
        settings.maxFaults = 0;
        settings.maxStates = 150_000;
        breaks.accept(settings);
        ExplorationResult result = new Explorer(settings).run();
        assertNotNull(result.broken(), name + " not found among " + result.states() + " states");
        assertTrue(result.broken().contains(how), result.broken());
    }
}
