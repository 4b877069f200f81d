package tinford.fleet.config;

/** Makes the content of a retained earlier revision current again, as a new revision. */
public record Revert(String id, long toRevision) implements Proposal {}
