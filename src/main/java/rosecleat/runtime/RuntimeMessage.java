package rosecleat.runtime;

import java.util.Optional;
import rosecleat.core.RunResult;

/**
 * A message from the runtime.
 *
 * @param sequence the number of the notice, which the runtime repeats on a new connection until it
 *     was read; 0 for messages that are not repeated
 * @param runId the run it is about; empty for none
 * @param body what the message says
 */
record RuntimeMessage(long sequence, String runId, Body body) {
  /** What a message says. Payloads are in base64, as they came. */
  sealed interface Body {}

  /**
   * The runtime is up; all notices that were not read follow.
   *
   * @param state {@code cold} or {@code warm}
   * @param uptimeUs how long the runtime has been up, in microseconds
   */
  record Ready(String state, long uptimeUs) implements Body {
    boolean cold() {
      return state.equals("cold");
    }
  }

  /** A run has ended after {@code tookUs} microseconds. */
  record RunEnded(RunResult result, String encodedResult, long tookUs) implements Body {}

  /** A run is paused until its downstream call has a reply. */
  record CallRequested(String encodedBody) implements Body {}

  /** The gauges, with the reference of the request for them. */
  record Gauges(String reference, double[] values) implements Body {}

  /** A command was not carried out. */
  record CommandRejected(String command) implements Body {}

  /** A message that needs no handling. */
  record Ignored() implements Body {}

  /** Parses a line; empty where it is no message. */
  static Optional<RuntimeMessage> parse(String line) {
    Optional<FlatJsonObject> parsed = FlatJsonParser.parse(line);
    if (parsed.isEmpty()) {
      return Optional.empty();
    }
    FlatJsonObject json = parsed.get();
    return Optional.of(
        new RuntimeMessage(json.wholeNumber("n"), json.text("job"), parseBody(json)));
  }

  private static Body parseBody(FlatJsonObject json) {
    return switch (json.text("type")) {
      case "ready" -> new Ready(json.text("state"), json.millisAsMicros("took"));
      case "end" ->
          new RunEnded(
              runResult(json.text("state")), json.text("data"), json.millisAsMicros("took"));
      case "wants" -> new CallRequested(json.text("data"));
      case "load" -> new Gauges(json.text("ref"), json.numbers());
      case "nack" -> new CommandRejected(json.text("state"));
      default -> new Ignored();
    };
  }

  private static RunResult runResult(String state) {
    return switch (state) {
      case "ok" -> RunResult.OK;
      case "halted" -> RunResult.CANCELLED;
      case "void" -> RunResult.NOT_STARTED;
      default -> RunResult.FAILED;
    };
  }
}
