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

/** A process of the node with its runtime, and how the process ended. */
final class SoakNode implements AutoCloseable {
  private static final String COUNTERS = " info counters ";

  /** The platform kills a replaced process this long after the longest deadline of a class. */
  private static final int TAKEOVER_KILL_DELAY_MS = 700;

  private static final long KILLED_EXIT_TIMEOUT_S = 10;

  /** The exit code of a process that SIGTERM ended: 128 plus the signal's number. */
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
      runtime.runTimesMs.put(each.name(), new int[] {each.workMs(), 0});
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
   * @param successorServes whether a successor has taken over by now
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

  /** Waits for the exit; kills the process at the earliest time at which the platform may do so. */
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

  /** Returns how the exit of the process violates a rule, or an empty string if it does not. */
  String exitViolation() {
    if (killed) {
      return "had not exited " + killDelayMs() + " ms after SIGTERM";
    }
    boolean neverListened = !log().contains("listens on");
    if (process.exitCode() == 0 || (neverListened && process.exitCode() == EXIT_CODE_OF_SIGTERM)) {
      return "";
    }
    return "exited with code " + process.exitCode() + ", expected 0";
  }

  boolean killed() {
    return killed;
  }

  /**
   * Returns the {@link System#nanoTime} from which on arriving requests must not run. There is no
   * such time for a process with a successor, which still serves the requests it has accepted.
   */
  long graceEndNs() {
    return terminatedNs == 0 || takenOver
        ? Long.MAX_VALUE
        : terminatedNs + TimeUnit.MILLISECONDS.toNanos(plan.graceMs());
  }

  /** Returns the starts that the runtime recorded: id, class and body. */
  List<String> starts() {
    synchronized (runtime) {
      return List.copyOf(runtime.starts);
    }
  }

  String log() {
    return process.log();
  }

  /** Returns the counters that the process logged at its exit; empty if it logged none. */
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
