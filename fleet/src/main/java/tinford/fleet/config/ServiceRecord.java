package tinford.fleet.config;

/** A service: the group of servers that serves a route; discovery lists its endpoints by name. */
public record ServiceRecord(String name) {}
