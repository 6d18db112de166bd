package rosecleat.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rosecleat.fakes.FakeRuntime;

/**
 * Checks the rules of the protocol page on the record of one run. The bounds are those of the page
 * and of the settings; pauses of the whole machine are subtracted from the measured times.
 */
final class SoakOracle {
  /** The tolerance of every time limit, and of a request that was sent just before a close (ms). */
  private static final long SOCKET_SLACK_MS = 50;

  private final SoakRecord record;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> startsById = new HashMap<>();
  private final Map<String, Integer> startsByBody = new HashMap<>();
  private final Map<String, SoakNode> nodeByRequestId = new HashMap<>();

  private SoakOracle(SoakRecord record) {
    this.record = record;
  }

  /** Returns a description of each violation; empty if there is none. */
  static List<String> violations(SoakRecord record) {
    SoakOracle oracle = new SoakOracle(record);
    oracle.countStarts();
    record.requests().forEach(oracle::check);
    record.nodes().forEach(oracle::checkProcess);
    oracle.checkCounters();
    return oracle.violations;
  }

  private void countStarts() {
    for (SoakNode node : record.nodes()) {
      for (String start : node.starts()) {
        String[] words = start.split(" ", 3);
        startsById.merge(words[0], 1, Integer::sum);
        startsByBody.merge(words[2], 1, Integer::sum);
        nodeByRequestId.put(words[0], node);
      }
    }
  }

  private void check(SentRequest request) {
    if (request.writtenNs == 0) {
      return; // The request was not sent completely.
    }
    checkAnswered(request);
    checkAnswer(request);
    checkRuns(request);
  }

  /**
   * Checks that the request was answered once and in time. By the first rule of the protocol page
   * (WIRE), an answer is due at the client's deadline, but not before the request was read: behind
   * many idle clients its connection waits in the backlog until a slot is free.
   */
  private void checkAnswered(SentRequest request) {
    if (request.answers.size() > 1) {
      violations.add("more than one answer: " + request + " " + request.answers);
    }
    if (request.withdrawn || request.connection.closedByClient) {
      return;
    }
    if (request.answers.isEmpty()) {
      checkSentShortlyBeforeClose(request);
      return;
    }
    long deadlineNs = request.arrivedNs + TimeUnit.MILLISECONDS.toNanos(request.waitMs);
    long dueNs =
        Math.max(deadlineNs, request.connection.readingSinceNs)
            + TimeUnit.MILLISECONDS.toNanos(SoakConfig.ANSWER_SLACK_MS + SOCKET_SLACK_MS);
    long lateNs =
        request.answeredNs - dueNs - record.pausedNs(request.arrivedNs, request.answeredNs);
    if (lateNs > 0) {
      violations.add("late by " + TimeUnit.NANOSECONDS.toMillis(lateNs) + " ms: " + request);
    }
  }

  /** Checks that an unanswered request was sent at most 50 ms before its connection ended. */
  private void checkSentShortlyBeforeClose(SentRequest request) {
    long endedNs = request.connection.endedNs;
    long beforeCloseNs = endedNs - request.writtenNs - record.pausedNs(request.writtenNs, endedNs);
    if (endedNs == 0) {
      violations.add("no answer, though the connection is open: " + request);
    } else if (beforeCloseNs > TimeUnit.MILLISECONDS.toNanos(SOCKET_SLACK_MS)) {
      violations.add(
          "unanswered: its connection ended "
              + TimeUnit.NANOSECONDS.toMillis(beforeCloseNs)
              + " ms after the request was sent, "
              + record.sinceTermination(endedNs)
              + ": "
              + request);
    }
  }

  private void checkAnswer(SentRequest request) {
    if (request.answers.isEmpty()) {
      return;
    }
    List<String> words = request.answers.get(0);
    boolean ran = startsById.containsKey(request.id);
    if (request.status().equals("OK")) {
      String result = words.size() > 3 ? words.get(3) : "";
      if (!result.equals(FakeRuntime.result(request.body))) {
        violations.add("wrong result: " + request + " " + words);
      }
      if (!startsByBody.containsKey(request.body)) {
        violations.add("result without a run: " + request);
      }
    } else if (request.status().equals("BUSY") && ran) {
      violations.add("rejected though it ran: " + request);
    }
  }

  private void checkRuns(SentRequest request) {
    int runs = startsById.getOrDefault(request.id, 0);
    if (request.requestClass.runsOnceAtMost() && runs > 1) {
      violations.add("ran " + runs + " times: " + request);
    }
    int runsOfKey = startsByBody.getOrDefault(request.body, 0);
    if (!request.key.isEmpty() && runsOfKey > 1) {
      violations.add("its key ran " + runsOfKey + " times: " + request);
    }
    if (runs > 0) {
      long lateNs = request.writtenNs - nodeByRequestId.get(request.id).graceEndNs();
      if (lateNs > TimeUnit.MILLISECONDS.toNanos(SOCKET_SLACK_MS)) {
        violations.add(
            "ran though it was sent "
                + record.sinceTermination(request.writtenNs)
                + ": "
                + request);
      }
    }
  }

  private void checkProcess(SoakNode node) {
    if (!node.exitViolation().isEmpty()) {
      violations.add("the process " + node.exitViolation());
    }
    for (String marker :
        List.of("Too many open files", "task on the event loop failed", "OutOfMemoryError")) {
      if (node.log().contains(marker)) {
        violations.add("the log contains: " + marker);
      }
    }
  }

  /** Checks that the counters logged at exit include all answers that the clients have read. */
  private void checkCounters() {
    Map<String, Long> counters = new HashMap<>();
    for (SoakNode node : record.nodes()) {
      if (node.killed()) {
        return; // checkProcess reports the kill as a violation.
      }
      if (node.counters().isEmpty() && node.log().contains("listens on")) {
        violations.add("the log contains no counters");
      }
      node.counters().forEach((name, count) -> counters.merge(name, count, Long::sum));
    }
    atLeast(counters, "answers.served", "OK");
    atLeast(counters, "answers.refused", "BUSY");
    long answered =
        counters.getOrDefault("answers.served", 0L)
            + counters.getOrDefault("answers.refused", 0L)
            + counters.getOrDefault("answers.failed", 0L);
    long requests = counters.getOrDefault("requests", 0L);
    long gone = counters.getOrDefault("gone", 0L);
    if (answered + gone != requests) {
      violations.add(
          requests + " requests, but " + answered + " answers and " + gone + " withdrawn");
    }
  }

  private void atLeast(Map<String, Long> counters, String counter, String word) {
    long read = record.requests().stream().filter(request -> request.status().equals(word)).count();
    long counted = counters.getOrDefault(counter, 0L);
    if (counted < read) {
      violations.add(
          counter + " is " + counted + ", expected at least " + read + " as read by clients");
    }
  }
}
