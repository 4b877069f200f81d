/**
 * The decision logic of one gateway. It has no I/O, threads or clock of its own; time and the
 * random seed are passed in. {@link tinford.decision.DecisionEngine} is the entry point. Times are
 * milliseconds on the gateways' shared clock.
 *
 * <p>Ownership of state: {@link tinford.decision.QuotaLimiter} owns tenant quotas and calls to the
 * shared counter, {@link tinford.decision.LoadBalancer} the servers and the attempts in flight,
 * {@link tinford.decision.AdmissionController} the admission queue, and {@link
 * tinford.decision.RetryBudget} the budget for retries. {@link tinford.decision.AttemptGuard}
 * checks every attempt and {@link tinford.decision.RequestCompletion} sends every final response.
 */
package tinford.decision;
