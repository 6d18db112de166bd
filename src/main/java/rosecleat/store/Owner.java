package rosecleat.store;

/** Who keeps records in a store. */
public interface Owner {
  /** The newest format version that it can read of a type; 0 for a type it does not know. */
  int reads(int type);

  /** A fold that holds nothing yet. For any thread. */
  Fold fold();
}
