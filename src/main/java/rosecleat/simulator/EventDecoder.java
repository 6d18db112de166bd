package rosecleat.simulator;

import java.util.List;
import rosecleat.policy.Outcome;
import rosecleat.policy.PolicyEvents;
import rosecleat.policy.PolicyRequest;
import rosecleat.policy.ServerGauges;

/** Decodes event records and calls a policy with them. Offsets are relative to the record. */
final class EventDecoder {
  /** The code of the event that a server starts. */
  static final int SERVER_STARTED = 1000;

  /** The code of the event that a server is stopped. */
  static final int SERVER_STOPPED = 1080;

  private static final int REQUEST_ARRIVED = 1010;
  private static final int RUN_ENDED = 1020;
  private static final int CALL_NEEDED = 1030;
  private static final int CALL_ENDED = 1040;
  private static final int SERVER_DRAINING = 1050;
  private static final int REQUEST_CANCELLED = 1060;
  private static final int TIMER_FIRED = 1070;

  private static final int CODE = 0;
  private static final int SERVER = 2;

  /** The offset of the request's id, the timer's tag, the seed or the remaining time. */
  private static final int FIRST_FIELD = 4;

  private static final int SETTINGS = 12;
  private static final int OUTCOME = 12;
  private static final int DURATION = 13;
  private static final int GAUGES = 12;

  private static final int CLASS_INDEX = 12;
  private static final int TENANT_INDEX = 14;
  private static final int READ_KEY = 18;
  private static final int TIMEOUT = 26;
  private static final int RUN_TIME_HINT = 30;
  private static final int QUEUED_KB = 34;
  private static final int RANK = 38;
  private static final int FLAGS = 42;
  private static final int CALLER_ID = 44;
  private static final int AGE = 48;
  private static final int ORIGINAL_ID = 52;

  private static final int RUN_TIME_HINT_FLAG = 1;
  private static final int RETRY_FLAG = 2;
  private static final int WRITE_FLAG = 4;

  private final BatchFrame batch;
  private final ServerGauges gauges = new ServerGauges();

  EventDecoder(BatchFrame batch) {
    this.batch = batch;
  }

  int code(int record) {
    return batch.unsigned16(record + CODE);
  }

  int server(int record) {
    return batch.unsigned16(record + SERVER);
  }

  /** Returns the seed for the policy of a server that starts. */
  long seed(int record) {
    return batch.int64(record + FIRST_FIELD);
  }

  /** Returns the settings of a server that starts, as JSON text. */
  String settings(int record) {
    return batch.text(record + SETTINGS);
  }

  /** Calls the policy's method for an event; ignores events with an unknown code. */
  void dispatch(int record, PolicyEvents policy, List<String> gaugeNames) {
    long now = batch.clockUs();
    long id = batch.int64(record + FIRST_FIELD);
    switch (code(record)) {
      case REQUEST_ARRIVED -> policy.arrived(now, request(record));
      case RUN_ENDED -> policy.ended(now, id, outcome(record), batch.unsigned32(record + DURATION));
      case CALL_NEEDED -> policy.callNeeded(now, id);
      case CALL_ENDED ->
          policy.callEnded(now, id, outcome(record), batch.unsigned32(record + DURATION));
      case SERVER_DRAINING -> policy.draining(now, batch.unsigned32(record + FIRST_FIELD));
      case REQUEST_CANCELLED -> policy.cancelled(now, id);
      case TIMER_FIRED -> {
        readGauges(record + GAUGES, gaugeNames);
        policy.timerFired(now, id, gauges);
      }
      default -> {} // unknown events are ignored
    }
  }

  private PolicyRequest request(int record) {
    int flags = batch.unsigned16(record + FLAGS);
    boolean hasHint = (flags & RUN_TIME_HINT_FLAG) != 0;
    return new PolicyRequest(
        batch.int64(record + FIRST_FIELD),
        batch.unsigned16(record + CLASS_INDEX),
        batch.int32(record + TENANT_INDEX),
        batch.int64(record + READ_KEY),
        batch.unsigned32(record + TIMEOUT),
        hasHint ? batch.unsigned32(record + RUN_TIME_HINT) : 0,
        batch.float32(record + QUEUED_KB),
        batch.float32(record + RANK),
        (flags & RETRY_FLAG) != 0,
        (flags & WRITE_FLAG) != 0,
        batch.unsigned32(record + CALLER_ID),
        batch.unsigned32(record + AGE),
        batch.int64(record + ORIGINAL_ID));
  }

  private void readGauges(int at, List<String> names) {
    gauges.clear();
    int count = Math.min(batch.unsigned8(at), names.size());
    if (!batch.hasBytes(at, 1 + Float.BYTES * count)) {
      throw new WireException("gauges extend past the end of the frame buffer");
    }
    for (int i = 0; i < count; i++) {
      gauges.set(names.get(i), batch.float32(at + 1 + Float.BYTES * i));
    }
  }

  private Outcome outcome(int record) {
    return switch (batch.unsigned8(record + OUTCOME)) {
      case 0 -> Outcome.OK;
      case 249 -> Outcome.NOT_STARTED;
      case 250 -> Outcome.CANCELLED;
      case 251 -> Outcome.RESET;
      case 252 -> Outcome.UNREACHABLE;
      case 253 -> Outcome.TIMEOUT;
      case 254 -> Outcome.REJECTED;
      default -> Outcome.FAILED;
    };
  }
}
