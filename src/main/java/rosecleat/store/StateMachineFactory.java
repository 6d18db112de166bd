package rosecleat.store;

/** Creates the state machines of an application and reports which records they support. */
public interface StateMachineFactory {
  /** Returns the newest supported format version of a record type; 0 for an unknown type. */
  int maxVersion(int type);

  /** Creates a state machine to which no record was applied. Thread-safe. */
  StateMachine newStateMachine();
}
