package tinford.fleet.config;

/** One addition, replacement or removal in a configuration. */
public sealed interface Change {
    /** Adds a service. */
    record PutService(ServiceRecord service) implements Change {}

    /** Removes a service that no route uses. */
    record RemoveService(String name) implements Change {}

    /** Adds or replaces a route. */
    record PutRoute(RouteRecord route) implements Change {}

    /** Removes a route. */
    record RemoveRoute(String name) implements Change {}

    /** Adds or replaces a plan. */
    record PutPlan(PlanRecord plan) implements Change {}

    /** Removes a plan that no tenant uses. */
    record RemovePlan(String name) implements Change {}

    /** Adds a tenant or moves it to another plan. */
    record PutTenant(TenantRecord tenant) implements Change {}

    /** Removes a tenant. */
    record RemoveTenant(long id) implements Change {}
}
