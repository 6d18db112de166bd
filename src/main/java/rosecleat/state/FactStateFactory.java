package rosecleat.state;

import rosecleat.store.StateMachine;
import rosecleat.store.StateMachineFactory;

/** Creates {@link FactState}s and reports which versions of their records this program reads. */
public final class FactStateFactory implements StateMachineFactory {
  @Override
  public int maxVersion(int type) {
    return type == FactCodec.RECORD_TYPE ? FactCodec.RECORD_VERSION : 0;
  }

  @Override
  public StateMachine newStateMachine() {
    return new FactState();
  }
}
