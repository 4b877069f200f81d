package tinford.api;

/** Whether a req may run again. */
public enum Effect { REPLAYABLE, UNIQUED, NON_REPLAYABLE }
