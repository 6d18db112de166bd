package rosecleat.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRuntime;
import rosecleat.harness.ServeProcess;

/** One process of the node with its runtime, and what is known of its end. */
final class SoakNode implements AutoCloseable {
  private static final String COUNTERS = " info counters ";

  /** The platform kills a process that another takes over from so long after the longest wait. */
  private static final int TAKEOVER_KILL_DELAY_MS = 700;

  private static final long KILLED_EXIT_TIMEOUT_S = 10;

  /** What a shell's signal number is added to in the exit code of a process that it ended. */
  private static final int EXIT_CODE_OF_SIGTERM = 143;

  final FakeRuntime runtime = new FakeRuntime(1);
  private final SoakPlan plan;
  private ServeProcess process;
  private long terminatedNs;
  private boolean takenOver;
  private boolean killed;

  SoakNode(SoakPlan plan) {
    this.plan = plan;
    for (RequestClassPlan each : plan.classes()) {
      runtime.takes.put(each.name(), new int[] {each.workMs(), 0});
    }
  }

  void start(Path folder, String name, String config) throws IOException {
    process = ServeProcess.start(folder, name, config, plan.descriptors());
  }

  void awaitServing() {
    Await.until(
        () -> process.log().contains("listens on") && process.log().contains("runtime is ready"));
  }

  void reload(String config) throws Exception {
    process.configure(config);
    process.signal("HUP");
  }

  /**
   * Sends SIGTERM.
   *
   * @param successorServes whether another process has taken over by then
   */
  void terminate(boolean successorServes) {
    if (terminatedNs == 0) {
      takenOver = successorServes;
      terminatedNs = System.nanoTime();
    }
    process.terminate();
  }

  boolean terminated() {
    return terminatedNs != 0;
  }

  /** Waits for the end, and kills the process at the earliest time that the platform may. */
  void awaitExit() throws InterruptedException {
    long killNs = terminatedNs + TimeUnit.MILLISECONDS.toNanos(killDelayMs());
    killed = !process.awaitExit(Math.max(1, killNs - System.nanoTime()));
    if (killed) {
      process.kill();
      process.awaitExit(TimeUnit.SECONDS.toNanos(KILLED_EXIT_TIMEOUT_S));
    }
  }

  private int killDelayMs() {
    int longestMs = plan.classes().stream().mapToInt(RequestClassPlan::deadlineMs).max().orElse(0);
    return takenOver ? longestMs + TAKEOVER_KILL_DELAY_MS : plan.stopMs();
  }

  /** Returns why the way in which the process ended breaks a rule; empty where it does not. */
  String wrongEnd() {
    if (killed) {
      return "had not ended " + killDelayMs() + " ms after SIGTERM";
    }
    boolean neverListened = !log().contains("listens on");
    if (process.exitCode() == 0 || (neverListened && process.exitCode() == EXIT_CODE_OF_SIGTERM)) {
      return "";
    }
    return "ended with code " + process.exitCode();
  }

  boolean killed() {
    return killed;
  }

  /**
   * Returns when requests that arrive must not run any more, by {@link System#nanoTime}. A process
   * that another one takes over from serves what it holds.
   */
  long graceEndNs() {
    return terminatedNs == 0 || takenOver
        ? Long.MAX_VALUE
        : terminatedNs + TimeUnit.MILLISECONDS.toNanos(plan.graceMs());
  }

  /** The runtime's record of starts: id, class and body. */
  List<String> starts() {
    synchronized (runtime) {
      return List.copyOf(runtime.starts);
    }
  }

  String log() {
    return process.log();
  }

  /** The counters that the process logged at its end; empty where it logged none. */
  Map<String, Long> counters() {
    Map<String, Long> counters = new HashMap<>();
    log()
        .lines()
        .filter(line -> line.contains(COUNTERS))
        .map(line -> line.substring(line.indexOf(COUNTERS) + COUNTERS.length()))
        .flatMap(line -> Stream.of(line.split(" ")))
        .map(entry -> entry.split("="))
        .forEach(pair -> counters.put(pair[0], Long.parseLong(pair[1])));
    return counters;
  }

  @Override
  public void close() {
    if (process != null) {
      process.close();
    }
    runtime.close();
  }
}
