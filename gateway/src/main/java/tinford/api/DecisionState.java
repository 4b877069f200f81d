package tinford.api;

/**
 * What a decision module keeps of a request or a server. It is attached to the object itself, which
 * spares a lookup at each event; nobody but the module that attached it reads it.
 */
public interface DecisionState {}
