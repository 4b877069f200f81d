package tinford.api;

/** The servers that drop repeats of a uniqued req. */
public enum Group { ALL, ZONE, CELL }
