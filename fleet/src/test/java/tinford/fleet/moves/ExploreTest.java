package tinford.fleet.moves;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.members.Incarnation;

/** Exhaustive exploration of small plans of staged moves. */
public class ExploreTest {
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
        Explore.Case c = new Explore.Case();
        c.told = told;
        c.gateways = 2;
        c.kills = 0;
        c.halts = 0;
        c.most = most;
        Explore.Found f = new Explore(c).run();
        assertNull(f.broken(), f.broken() + " " + f.story());
        assertTrue(f.ends() > 0 || f.states() >= c.most, f.states() + " states, none an end");
    }

    private static Consumer<Explore.Case> rules(TransitionRules rules) {
        return c -> c.rules = rules;
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
                            boolean acked(
                                    LeaseHolders m, Map<Incarnation, Double> acks, double since) {
                                return true;
                            }
                        })
            },
            {
                "acks of another turn count",
                "",
                ((Consumer<Explore.Case>) c -> c.flights = true)
                        .andThen(
                                rules(
                                        new TransitionRules() {
                                            @Override
                                            boolean counts(long turn, long of) {
                                                return true;
                                            }
                                        }))
            },
            {
                "the end of a lease counted too early",
                "",
                (Consumer<Explore.Case>)
                        c -> {
                            c.apartCounted = -1;
                            c.gateways = 3;
                            c.kills = 1;
                        }
            },
            {
                "one that has died is waited for",
                "stuck",
                rules(
                        new TransitionRules() {
                            @Override
                            boolean acked(
                                    LeaseHolders m, Map<Incarnation, Double> acks, double since) {
                                return super.acked(m, acks, since) && acks.size() > 2;
                            }
                        })
            },
            {
                "two steps at once",
                "from step",
                rules(
                        new TransitionRules() {
                            @Override
                            boolean next(int from, int to, boolean back) {
                                return super.next(from, to, back) || !back && to == from + 2;
                            }
                        })
            },
            {
                "back in forward order",
                "forward",
                rules(
                        new TransitionRules() {
                            @Override
                            boolean next(int from, int to, boolean back) {
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
                            boolean next(int from, int to, boolean back) {
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
                            boolean returns(int before, int position, int to) {
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
                            double waits(Plan plan, int at, boolean back) {
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
                            int resumed(int position) {
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
                            boolean lifts(boolean halted, long halts, long seen) {
                                return halted;
                            }
                        })
            },
            {
                "routed without a lease",
                "",
                ((Consumer<Explore.Case>) c -> c.kills = 1)
                        .andThen(
                                c ->
                                        c.route =
                                                (incarnation, status) ->
                                                        new Route(incarnation, status, 1) {
                                                            @Override
                                                            protected boolean mayAct(double now) {
                                                                return true;
                                                            }
                                                        })
            },
            {
                "a key is not kept",
                "both groups",
                (Consumer<Explore.Case>)
                        c ->
                                c.route =
                                        (incarnation, status) ->
                                                new Route(incarnation, status, 1) {
                                                    @Override
                                                    protected String goes(
                                                            Plan.Mover m,
                                                            Step.Part part,
                                                            double at,
                                                            boolean retry) {
                                                        return at < part.until()
                                                                        && part.phase()
                                                                                != Step.Phase.HOLD
                                                                ? m.to()
                                                                : m.from();
                                                    }
                                                }
            },
            {
                "a told retry is taken for a first try",
                "both groups",
                ((Consumer<Explore.Case>) c -> c.told = true)
                        .andThen(
                                c ->
                                        c.route =
                                                (incarnation, status) ->
                                                        new Route(incarnation, status, 1) {
                                                            @Override
                                                            protected String goes(
                                                                    Plan.Mover m,
                                                                    Step.Part part,
                                                                    double at,
                                                                    boolean retry) {
                                                                return super.goes(
                                                                        m, part, at, false);
                                                            }
                                                        })
            },
            {
                "a lease counted from the answer",
                "",
                (Consumer<Explore.Case>) c -> c.countsFromAnswer = true
            },
            {
                "a grant acted on before what came ahead of it",
                "",
                (Consumer<Explore.Case>) c -> c.grantFirst = true
            },
            {
                "what is needed left out of the order",
                "what it needs",
                (Consumer<Explore.Case>)
                        c -> {
                            c.needs = false;
                            c.stages = 2;
                        }
            },
        };
    }

    @Test(dataProvider = "broken")
    public void brokenRulesAreFound(String name, String how, Consumer<Explore.Case> breaks) {
        Explore.Case c = new Explore.Case();
        c.gateways = 2;
        c.kills = 0;
        c.most = 150_000;
        breaks.accept(c);
        Explore.Found f = new Explore(c).run();
        assertNotNull(f.broken(), name + " not found among " + f.states() + " states");
        assertTrue(f.broken().contains(how), f.broken());
    }
}
