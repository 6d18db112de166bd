package rosecleat.fleet;

import java.nio.charset.StandardCharsets;

/** A digest of all effects and frames of a simulation in order; equal runs have equal digests. */
final class EffectTrace {
  private long digest;

  long digest() {
    return digest;
  }

  void add(byte[] bytes) {
    digest = Hash.of(bytes, digest);
  }

  void add(Effect effect) {
    if (effect instanceof Effect.SendDatagram send) {
      add("send " + send.destination());
      add(send.payload());
    } else if (effect instanceof Effect.StartSync sync) {
      add("sync " + sync.peer() + " " + sync.reason().counterName());
    } else if (effect instanceof Effect.WriteLog entry) {
      add("log " + entry.warning() + " " + entry.line());
    } else if (effect instanceof Effect.IncrementCounter increment) {
      add("count " + increment.counter().counterName());
    } else if (effect instanceof Effect.ViewChanged) {
      add("changed");
    } else if (effect instanceof Effect.RecordChanged change) {
      FleetRecord record = change.record();
      String key = record.owner() + "/" + record.kind() + "/" + record.key();
      add("record " + key + " " + record.version() + " " + (record.payload() == null));
    }
  }

  private void add(String line) {
    add(line.getBytes(StandardCharsets.UTF_8));
  }
}
