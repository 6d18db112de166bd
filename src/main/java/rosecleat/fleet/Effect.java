package rosecleat.fleet;

/** What the decisions ask of whoever carries them out. */
public sealed interface Effect {
  /** Send a datagram. */
  record SendDatagram(Endpoint to, byte[] bytes) implements Effect {}

  /** Open an exchange; {@code why} is for the counters. */
  record StartSync(Endpoint with, String why) implements Effect {}

  /** A line for the log. */
  record WriteLog(boolean warning, String line) implements Effect {}

  /** One more of something, by name. */
  record IncrementCounter(String what) implements Effect {}

  /** The view has changed. */
  record ViewChanged() implements Effect {}

  /** A record has come, changed or (null payload) aged out. */
  record RecordChanged(FleetRecord record) implements Effect {}
}
