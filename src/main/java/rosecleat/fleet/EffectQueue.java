package rosecleat.fleet;

import java.util.ArrayList;
import java.util.List;

/** The effects since the driver last drained them, in order. */
final class EffectQueue {
  /**
   * Queue length from which datagrams are dropped: bounds memory if the driver does not drain the
   * queue.
   */
  private static final int MAX_QUEUED = 100_000;

  private final List<Effect> effects = new ArrayList<>();

  List<Effect> drain() {
    List<Effect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }

  void sendDatagram(Endpoint destination, byte[] payload) {
    if (effects.size() < MAX_QUEUED) {
      effects.add(new Effect.SendDatagram(destination, payload));
    }
  }

  void startSync(Endpoint peer, SyncReason reason) {
    effects.add(new Effect.StartSync(peer, reason));
  }

  void count(MembershipCounter counter) {
    effects.add(new Effect.IncrementCounter(counter));
  }

  void info(String line) {
    effects.add(new Effect.WriteLog(false, line));
  }

  void warn(String line) {
    effects.add(new Effect.WriteLog(true, line));
  }

  void viewChanged() {
    effects.add(new Effect.ViewChanged());
  }

  void recordChanged(FleetRecord record) {
    effects.add(new Effect.RecordChanged(record));
  }
}
