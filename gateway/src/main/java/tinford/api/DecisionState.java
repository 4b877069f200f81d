package tinford.api;

/**
 * What a decision module stores with a request or a server. It is attached to the object itself,
 * which saves a lookup at each event; only the module that attached it reads it.
 */
public interface DecisionState {}
