package tinford.fleet.config;

/** A proposal to restore the content of a retained earlier revision, as a new revision. */
public record Revert(String id, long toRevision) implements Proposal {}
