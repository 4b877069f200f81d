package tinford.fleet.config;

/** A tenant and the name of its plan. */
public record Tenant(long id, String plan) {}
