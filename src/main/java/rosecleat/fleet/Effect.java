package rosecleat.fleet;

/** What the decisions ask of whoever carries them out. */
public sealed interface Effect {
  /** Send a datagram. */
  record Send(Endpoint to, byte[] bytes) implements Effect {}

  /** Open an exchange; {@code why} is for the counters. */
  record Meet(Endpoint with, String why) implements Effect {}

  /** A line for the log. */
  record Say(boolean warning, String line) implements Effect {}

  /** One more of something, by name. */
  record Count(String what) implements Effect {}

  /** The view has changed. */
  record Changed() implements Effect {}

  /** A record has come, changed or (null payload) aged out. */
  record Recorded(FleetRecord record) implements Effect {}
}
