package rosecleat.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * A request as its client observed it. The client's threads write the fields, which are read after
 * these threads have ended; times are from {@link System#nanoTime}.
 */
final class SentRequest {
  final RequestClassPlan requestClass;
  final String id;
  final String key;
  final String body;
  final String tenant;
  final int waitMs;
  final SoakConnection connection;

  /** When the write of the last byte began; 0 while the request is not written completely. */
  volatile long writtenNs;

  /** When the request arrived according to its fields. */
  volatile long arrivedNs;

  volatile boolean withdrawn;

  /** The words of each answer. */
  final List<List<String>> answers = new ArrayList<>();

  volatile long answeredNs;

  SentRequest(
      RequestClassPlan requestClass,
      String id,
      String key,
      String body,
      String tenant,
      int waitMs,
      SoakConnection connection) {
    this.requestClass = requestClass;
    this.id = id;
    this.key = key;
    this.body = body;
    this.tenant = tenant;
    this.waitMs = waitMs;
    this.connection = connection;
  }

  /** Returns the status word of the first answer, or {@code none}. */
  String status() {
    return answers.isEmpty() ? "none" : answers.get(0).get(1);
  }

  @Override
  public String toString() {
    return "%s %s (%s%s) wait %d ms, answered %s%s"
        .formatted(
            id,
            requestClass.name(),
            requestClass.effect(),
            key.isEmpty() ? "" : " key " + key,
            waitMs,
            status(),
            withdrawn ? ", withdrawn" : "");
  }
}
