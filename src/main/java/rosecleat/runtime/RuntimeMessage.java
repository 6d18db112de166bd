package rosecleat.runtime;

import java.util.Optional;
import rosecleat.core.RunResult;

/**
 * A message from the runtime.
 *
 * @param sequence the sequence number of the message, which the runtime sends again on a new
 *     connection until it has been read; 0 for messages that are not sent again
 * @param runId the run that the message is about; empty if there is none
 * @param body the type-specific content
 */
record RuntimeMessage(long sequence, String runId, Body body) {
  /** The type-specific content of a message. Payloads are in base64, as received. */
  sealed interface Body {}

  /**
   * The runtime is ready; all numbered messages that have not been read follow.
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

  /** A run is paused until it receives the reply to its downstream call. */
  record CallRequested(String encodedBody) implements Body {}

  /** Values of the gauges, with the reference of the request for them. */
  record Gauges(String reference, double[] values) implements Body {}

  /** The runtime did not execute a command. */
  record CommandRejected(String command) implements Body {}

  /** A message that requires no handling, such as one of an unknown type. */
  record Ignored() implements Body {}

  /** Parses a line; returns empty if it is malformed. */
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
