package tinford.lab.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;

/**
 * Goes through everything that can happen to one plan of moves at small size, breadth-first:
 * entries in any order, late, lost or by a wrong leader, kills, restarts with and without a disk,
 * ended leases, halts, clocks that differ. Runs the real {@link MigrationState} and {@link
 * MigrationRouter}. Holds every state that it found; its memory is bounded by the number of states
 * in its settings.
 */
final class Explorer {
    private static final int PROGRESS_EVERY = 100_000;

    /** Warm units a second of the new group: as much as the plan needs. */
    private static final double ALL_WARM = 2;

    private final ExplorationSettings settings;
    private final StateGraph graph = new StateGraph();
    private final ArrayDeque<MigrationModel> open = new ArrayDeque<>();

    /** The number of the state that is being expanded. */
    private int current = StateGraph.NONE;

    private List<String> story;
    private String broken;

    Explorer(ExplorationSettings settings) {
        this.settings = settings;
    }

    ExplorationResult run() {
        reach(new MigrationModel(settings), "begun", false);
        for (current = 0;
                !open.isEmpty() && broken == null && graph.states() < settings.maxStates;
                current++) {
            expand(open.poll());
            if (current % PROGRESS_EVERY == 0) {
                settings.progress.at(current, graph.states());
            }
        }
        if (broken == null && open.isEmpty()) {
            checkEnds();
        }
        return new ExplorationResult(graph.states(), graph.edges(), graph.ends(), story, broken);
    }

    /**
     * From every state an end must be within reach by what happens without faults and without a
     * restart of who is down.
     */
    private void checkEnds() {
        int stuck = graph.firstStuck();
        if (stuck != StateGraph.NONE) {
            broken = "stuck: no end is within reach";
            story = graph.story(stuck);
        }
    }

    /**
     * @param faultless whether it happens without a fault
     */
    private void reach(MigrationModel model, String step, boolean faultless) {
        model.normalise();
        model.check();
        String form = model.form();
        int number = graph.number(form);
        if (number == StateGraph.NONE) {
            MigrationState.State state = model.moves.status().state();
            boolean end =
                    state == MigrationState.State.DONE || state == MigrationState.State.UNDONE;
            number = graph.add(form, current, step, end);
            open.add(model);
        }
        if (faultless && number != current) {
            graph.edge(current, number);
        }
        if (model.broken != null && broken == null) {
            broken = model.broken;
            story = new ArrayList<>(graph.story(current));
            story.add(step);
        }
    }

    private void expand(MigrationModel model) {
        tick(model);
        for (MigratingGatewayModel gateway : model.gateways) {
            if (gateway.up) {
                act(model, gateway);
            }
            fail(model, gateway);
        }
        lead(model);
        operate(model);
        MigrationStatus status = model.moves.status();
        MigrationEntry bad =
                MigrationEntry.report(
                        model.gateways.get(0).incarnation(),
                        status.epoch(),
                        model.clock(0),
                        1,
                        0,
                        9,
                        9,
                        1,
                        0,
                        0,
                        0);
        offer(model, bad, "gateway 0: bad", false);
    }

    private void tick(MigrationModel model) {
        MigrationModel next = new MigrationModel(model);
        next.now++;
        for (MigratingGatewayModel gateway : next.gateways) {
            if (gateway.up
                    && !gateway.cutOff
                    && gateway.leaseGranted != MigratingGatewayModel.NEVER) {
                next.renew(gateway);
            }
        }
        reach(next, "a tick", true);
    }

    private void lead(MigrationModel model) {
        MigrationStatus status = model.moves.status();
        for (int to = status.stepIndex() - 2; to <= status.stepIndex() + 2; to++) {
            MigrationEntry go = MigrationEntry.proposeStep(model.now, status.epoch(), to, ALL_WARM);
            offer(model, go, "a leader: to step " + to, true);
        }
        int next = status.stepIndex() + 1;
        MigrationEntry stale =
                MigrationEntry.proposeStep(model.now, status.epoch() - 1, next, ALL_WARM);
        offer(model, stale, "a stale leader: to step " + next, true);
    }

    private void operate(MigrationModel model) {
        long halts = model.moves.haltCount();
        offer(model, MigrationEntry.resume("o", model.now, halts), "resume", true);
        offer(
                model,
                MigrationEntry.resume("o", model.now, halts - 1),
                "resume of an earlier halt",
                false);
        if (halts < settings.maxHalts) {
            offer(model, MigrationEntry.halt("o", model.now), "halt", false);
        }
        offer(model, MigrationEntry.revert("o", model.now), "back", false);
    }

    /**
     * Entries that alter nothing are no step of a story. A report alters something only when it
     * turns the moves back.
     */
    private void offer(MigrationModel model, MigrationEntry entry, String step, boolean faultless) {
        MigrationModel next = new MigrationModel(model);
        next.apply(entry);
        MigrationStatus before = model.moves.status();
        MigrationStatus after = next.moves.status();
        if (before.state() != after.state()
                || before.epoch() != after.epoch()
                || before.stepIndex() != after.stepIndex()
                || before.reverting() != after.reverting()) {
            reach(next, step, faultless);
        }
    }

    /** All that a gateway may do next. */
    private void act(MigrationModel model, MigratingGatewayModel gateway) {
        if (!gateway.unread.isEmpty()) {
            read(model, gateway);
        }
        acknowledge(model, gateway);
        if (gateway.leaseGranted == MigratingGatewayModel.NEVER && !gateway.cutOff) {
            MigrationModel next = new MigrationModel(model);
            next.renew(next.gateways.get(gateway.number));
            reach(next, name(gateway) + " is granted its first lease", true);
        }
        if (gateway.cutOff) {
            MigrationModel next = new MigrationModel(model);
            MigratingGatewayModel heard = next.gateways.get(gateway.number);
            heard.cutOff = false;
            next.renew(heard);
            reach(next, name(gateway) + " is heard again", true);
        }
        send(model, gateway);
    }

    private void read(MigrationModel model, MigratingGatewayModel gateway) {
        MigrationModel next = new MigrationModel(model);
        MigratingGatewayModel reader = next.gateways.get(gateway.number);
        int first = 0;
        for (int i = 0; settings.grantFirst && i < reader.unread.size(); i++) {
            first = reader.unread.get(i).isGrant() ? i : first;
        }
        MigratingGatewayModel.LogEvent event = reader.unread.remove(first);
        next.see(reader, event);
        String what = event.isGrant() ? "its lease" : "step " + event.status().stepIndex();
        reach(next, name(gateway) + " sees " + what, true);
    }

    private void acknowledge(MigrationModel model, MigratingGatewayModel gateway) {
        if (model.mayAct(gateway)
                && !gateway.cutOff
                && model.clock(gateway) < gateway.leaseSeen
                && !model.moves.hasAcknowledged(gateway.incarnation())
                && (!settings.acksInFlight || !gateway.ackInFlight())) {
            MigrationModel next = new MigrationModel(model);
            if (settings.acksInFlight) {
                next.gateways.get(gateway.number).ackSent = model.clock(gateway);
            } else {
                next.apply(ack(gateway, model.clock(gateway)));
            }
            reach(next, name(gateway) + " acks step " + gateway.view.stepIndex(), true);
        }
        if (gateway.ackInFlight()) {
            MigrationModel next = new MigrationModel(model);
            next.apply(ack(gateway, gateway.ackSent));
            next.gateways.get(gateway.number).ackSent = MigratingGatewayModel.NEVER;
            reach(next, "the ack of " + name(gateway) + " is in the log", true);
        }
    }

    private static MigrationEntry ack(MigratingGatewayModel gateway, double sent) {
        return MigrationEntry.ack(gateway.incarnation(), gateway.view.epoch(), sent);
    }

    private void send(MigrationModel model, MigratingGatewayModel gateway) {
        // before, all go to the old group
        if (!model.mayAct(gateway) || gateway.view.stepIndex() < settings.stages) {
            return;
        }
        boolean again = model.sentBefore();
        boolean retry = settings.retriesTold && again;
        MigrationRouter route = model.route(gateway);
        for (int to = MigrationModel.OLD_GROUP; to <= MigrationModel.NEW_GROUP; to++) {
            String group = to == MigrationModel.OLD_GROUP ? "a" : "b";
            if (route.mayRoute("needing", 1, retry, group, null, model.clock(gateway))) {
                MigrationModel next = new MigrationModel(model);
                next.send(to);
                String what = again ? "retry" : "request";
                reach(next, name(gateway) + " sends the " + what + " to " + group, false);
            }
        }
    }

    /** All faults that a gateway may have next, and its restart. */
    private void fail(MigrationModel model, MigratingGatewayModel gateway) {
        if (gateway.up && model.faults < settings.maxFaults) {
            kill(model, gateway);
            if (!gateway.cutOff) {
                cutOff(model, gateway);
            }
        }
        if (!gateway.up) {
            restart(model, gateway, false);
            restart(model, gateway, true);
        }
    }

    private void kill(MigrationModel model, MigratingGatewayModel gateway) {
        MigrationModel next = new MigrationModel(model);
        MigratingGatewayModel killed = next.gateways.get(gateway.number);
        killed.up = false;
        killed.ackSent = MigratingGatewayModel.NEVER;
        killed.cutOff = false;
        next.faults++;
        reach(next, name(gateway) + " is killed", false);
    }

    private void cutOff(MigrationModel model, MigratingGatewayModel gateway) {
        MigrationModel next = new MigrationModel(model);
        next.gateways.get(gateway.number).cutOff = true;
        next.faults++;
        reach(next, name(gateway) + " is cut off", false);
    }

    private void restart(MigrationModel model, MigratingGatewayModel gateway, boolean withDisk) {
        MigrationModel next = new MigrationModel(model);
        MigrationStatus known = withDisk ? gateway.view : next.newMoves().status();
        next.gateways.get(gateway.number).restart(known, next.moves.status());
        String how = withDisk ? " restarts with its disk" : " restarts without its disk";
        reach(next, name(gateway) + how, false);
    }

    private static String name(MigratingGatewayModel gateway) {
        return "gateway " + gateway.number;
    }
}
