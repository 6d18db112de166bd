package rosecleat.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rosecleat.fakes.FakeRuntime;

/**
 * The rules of the protocol's page, checked on the record of one run. Bounds are the page's and the
 * settings', less what the machine itself stood still.
 */
final class SoakOracle {
  /** How much longer every time limit is on sockets, and how long a request may cross a close. */
  private static final long SOCKET_SLACK_MS = 50;

  private final SoakRecord record;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> startsById = new HashMap<>();
  private final Map<String, Integer> startsByBody = new HashMap<>();
  private final Map<String, SoakNode> runBy = new HashMap<>();

  private SoakOracle(SoakRecord record) {
    this.record = record;
  }

  /** Returns what broke a rule, in words; empty where nothing did. */
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
        runBy.put(words[0], node);
      }
    }
  }

  private void check(SentRequest request) {
    if (request.writtenNs == 0) {
      return; // not written whole
    }
    checkAnswered(request);
    checkAnswer(request);
    checkRuns(request);
  }

  /**
   * An answer is due when the caller gives up, but not before the request was read (WIRE, the first
   * rule): behind a crowd it lies in the backlog until a place is free.
   */
  private void checkAnswered(SentRequest request) {
    if (request.answers.size() > 1) {
      violations.add("several answers: " + request + " " + request.answers);
    }
    if (request.undone || request.connection.closedByClient) {
      return;
    }
    if (request.answers.isEmpty()) {
      checkCrossedTheEnd(request);
      return;
    }
    long callerGivesUpNs = request.arrivedNs + TimeUnit.MILLISECONDS.toNanos(request.waitMs);
    long dueNs =
        Math.max(callerGivesUpNs, request.connection.readSinceNs)
            + TimeUnit.MILLISECONDS.toNanos(SoakConfig.ANSWER_SLACK_MS + SOCKET_SLACK_MS);
    long lateNs =
        request.answeredNs - dueNs - record.pausedNs(request.arrivedNs, request.answeredNs);
    if (lateNs > 0) {
      violations.add("late by " + TimeUnit.NANOSECONDS.toMillis(lateNs) + " ms: " + request);
    }
  }

  /** A request without an answer was written at most 50 ms before its connection ended. */
  private void checkCrossedTheEnd(SentRequest request) {
    long endedNs = request.connection.endedNs;
    long crossingNs = endedNs - request.writtenNs - record.pausedNs(request.writtenNs, endedNs);
    if (endedNs == 0) {
      violations.add("no answer, and the connection is open: " + request);
    } else if (crossingNs > TimeUnit.MILLISECONDS.toNanos(SOCKET_SLACK_MS)) {
      violations.add(
          "lost: its connection ended "
              + TimeUnit.NANOSECONDS.toMillis(crossingNs)
              + " ms after it was written, "
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
    if (request.word().equals("OK")) {
      String result = words.size() > 3 ? words.get(3) : "";
      if (!result.equals(FakeRuntime.result(request.body))) {
        violations.add("another result: " + request + " " + words);
      }
      if (!startsByBody.containsKey(request.body)) {
        violations.add("a result of no run: " + request);
      }
    } else if (request.word().equals("BUSY") && ran) {
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
      long lateNs = request.writtenNs - runBy.get(request.id).graceEndNs();
      if (lateNs > TimeUnit.MILLISECONDS.toNanos(SOCKET_SLACK_MS)) {
        violations.add(
            "ran though it came " + record.sinceTermination(request.writtenNs) + ": " + request);
      }
    }
  }

  private void checkProcess(SoakNode node) {
    if (!node.wrongEnd().isEmpty()) {
      violations.add("the process " + node.wrongEnd());
    }
    for (String sign :
        List.of("Too many open files", "task on the event loop failed", "OutOfMemoryError")) {
      if (node.log().contains(sign)) {
        violations.add("the log says: " + sign);
      }
    }
  }

  /** The counters that the processes log at their end must hold what the clients have read. */
  private void checkCounters() {
    Map<String, Long> counters = new HashMap<>();
    for (SoakNode node : record.nodes()) {
      if (node.killed()) {
        return; // that is a violation itself
      }
      if (node.counters().isEmpty() && node.log().contains("listens on")) {
        violations.add("the log ends without counters");
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
    long read = record.requests().stream().filter(request -> request.word().equals(word)).count();
    long counted = counters.getOrDefault(counter, 0L);
    if (counted < read) {
      violations.add(counter + " is " + counted + ", but clients read " + read);
    }
  }
}
