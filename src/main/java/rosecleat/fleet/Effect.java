package rosecleat.fleet;

/** What the protocol asks its driver to do; the driver carries effects out in their order. */
public sealed interface Effect {
  /** Send a datagram. */
  record SendDatagram(Endpoint destination, byte[] payload) implements Effect {}

  /** Open a push/pull synchronization with another member. */
  record StartSync(Endpoint peer, SyncReason reason) implements Effect {}

  /** Write a line to the log. */
  record WriteLog(boolean warning, String line) implements Effect {}

  /** Add one to a counter. */
  record IncrementCounter(MembershipCounter counter) implements Effect {}

  /** The membership view has changed. */
  record ViewChanged() implements Effect {}

  /** A record is new, has changed, or (with a null payload) has expired. */
  record RecordChanged(FleetRecord record) implements Effect {}
}
