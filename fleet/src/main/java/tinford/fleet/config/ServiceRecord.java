package tinford.fleet.config;

/** A service: the servers that routes lead to, found by name in discovery. */
public record ServiceRecord(String name) {}
