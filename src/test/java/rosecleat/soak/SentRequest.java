package rosecleat.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * One request as its client saw it. Written by the client's threads and read after they have ended;
 * times are {@link System#nanoTime}.
 */
final class SentRequest {
  final RequestClassPlan requestClass;
  final String id;
  final String key;
  final String body;
  final String tenant;
  final int waitMs;
  final SoakConnection connection;

  /** Just before the last byte was written; 0 while it is not written whole. */
  volatile long writtenNs;

  /** When the request said that it came. */
  volatile long arrivedNs;

  volatile boolean withdrawn;

  /** The words of all answers. */
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
