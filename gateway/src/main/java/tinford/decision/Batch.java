package tinford.decision;

import tinford.api.FleetPolicy;
import tinford.api.GatewayActions;

/**
 * Context of the batch of events that is being handled: its time, the receiver of actions and the
 * fleet's policy.
 */
final class Batch {
    final double nowMs;
    final GatewayActions actions;
    final FleetPolicy policy;

    Batch(double nowMs, GatewayActions actions, FleetPolicy policy) {
        this.nowMs = nowMs;
        this.actions = actions;
        this.policy = policy;
    }

    Batch withPolicy(FleetPolicy changed) {
        return new Batch(nowMs, actions, changed);
    }
}
