package tinford.fleet.config;

/** A tenant and the name of its plan. */
public record TenantRecord(long id, String plan) {}
