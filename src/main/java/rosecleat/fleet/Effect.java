package rosecleat.fleet;

/**
 * An action that the protocol requests from its driver, or an event that it reports; the driver
 * handles effects in their order.
 */
public sealed interface Effect {
  /** Requests to send a datagram. */
  record SendDatagram(Endpoint destination, byte[] payload) implements Effect {}

  /** Requests to open a push/pull synchronization with another member. */
  record StartSync(Endpoint peer, SyncReason reason) implements Effect {}

  /** Requests to write a log line. */
  record WriteLog(boolean warning, String line) implements Effect {}

  /** Requests to add one to a counter. */
  record IncrementCounter(MembershipCounter counter) implements Effect {}

  /** Reports that the membership view has changed. */
  record ViewChanged() implements Effect {}

  /** Reports that a record is new, has changed, or (with a null payload) has expired. */
  record RecordChanged(FleetRecord record) implements Effect {}
}
