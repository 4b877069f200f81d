/**
 * The decisions of one gateway, without I/O, threads or a clock of their own: time and randomness
 * are handed in. {@link tinford.decision.DecisionEngine} is the entry. Times are milliseconds on
 * the gateways' shared clock.
 *
 * <p>Ownership of state: {@link tinford.decision.QuotaLimiter} owns tenant quotas and calls on the
 * shared counter, {@link tinford.decision.LoadBalancer} the servers and what runs at them, {@link
 * tinford.decision.AdmissionController} the queue, {@link tinford.decision.RetryBudget} what may be
 * retried. {@link tinford.decision.AttemptGuard} checks every attempt and {@link
 * tinford.decision.FinalAnswers} gives every final answer.
 */
package tinford.decision;
