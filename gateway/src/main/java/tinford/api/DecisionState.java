package tinford.api;

/**
 * State that a decision module keeps for a request or a server. It is attached to the object
 * itself, which saves a map lookup per event; only the module that attached it reads it.
 */
public interface DecisionState {}
