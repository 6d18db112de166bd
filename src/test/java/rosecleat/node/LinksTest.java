package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Request;
import rosecleat.core.Runner;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.takeover.TakeoverCoordinator;

/** The node's links to runtime, index and roster: what breaks, and what the node makes of it. */
class LinksTest {
  private final FakeRuntime runtime = new FakeRuntime(100);
  private final FakeIndex index = new FakeIndex();
  private final FakeRegistry roster = new FakeRegistry();
  private final Log log = new Log(System.err);
  private Node node;
  private RespClient client;
  private int tag;

  private void start() throws IOException {
    node =
        new Node(
            ProcessConfig.of(
                TestSite.config(runtime.port(), index.port(), roster.port(), 2_000, 500)),
            NodeEnvironment.standalone(log));
    node.start();
    client = new RespClient(node.port(), null);
  }

  private void startReady() throws IOException {
    start();
    await(() -> count("") >= 0 && ready());
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    node.close();
    runtime.close();
    index.close();
    roster.close();
    log.close();
  }

  private <T> T ask(java.util.function.Function<Core, T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    node.onLoop(() -> answer.complete(question.apply(node.core())));
    return answer.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private boolean ready() {
    return ask(Core::ready);
  }

  private long count(String name) {
    return ask(core -> core.counters().get(name));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "it did not come to hold");
      Thread.yield();
    }
  }

  private String send(String klass, String once) throws IOException {
    String id = String.format("%016x", ++tag);
    client.send(
        RespClient.array(
            "DO", tag, klass, RespClient.fields(id, "small", 1_100, once), "body " + tag));
    return id;
  }

  private List<String> answer(String klass) throws IOException {
    send(klass, null);
    return client.answer();
  }

  /** Guards all that is done by time: one beat that fails must not be the last. */
  @Test
  void aBeatThatFailsIsFollowedByOthers() throws Exception {
    startReady();
    AtomicBoolean thrown = new AtomicBoolean();
    node.onLoop(() -> node.core().start(new FailingOnce(thrown), false, 0));
    await(thrown::get);
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    client.close();
    left.get(3, TimeUnit.SECONDS);
  }

  /** A runner that throws when it is first asked for gauges. */
  private record FailingOnce(AtomicBoolean thrown) implements Runner {
    @Override
    public void start(Request ask, long dueUs) {}

    @Override
    public void cancel(String id) {}

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long notice) {}

    @Override
    public void requestGauges() {
      if (!thrown.getAndSet(true)) {
        throw new IllegalStateException("thrown by the test");
      }
    }
  }

  // ---- the runtime

  @Test
  void healthChecksAreAnsweredWhileTheRuntimeComesUp() throws IOException {
    runtime.readyAfterMs = 500;
    start();
    client.send(RespClient.array("PING", 1, ""));
    assertEquals("UP", client.answer().get(1));
    assertTrue(!ready());
    assertEquals("BUSY", answer("balance-check").get(1)); // nothing can run yet, and nothing has
    await(this::ready);
    assertEquals(FakeRuntime.result("body 2"), answer("balance-check").get(3));
  }

  @Test
  void aNewLinkTellsWhatTheOldOneMissedAndNothingTwice() throws IOException {
    startReady();
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    runtime.cut(); // the run goes on, and ends while there is no link
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(2, runtime.starts.size());
    assertEquals(2, count("runs.ok"));
    assertTrue(runtime.commands.contains("sync "), "no sync");
  }

  @Test
  void runsAndNumbersCarryOnWhenTheRuntimeMoves() throws IOException {
    startReady();
    for (int round = 0; round < 3; round++) { // reloads in a row, each with a run in hand
      send("balance-check", null);
      int begun = round + 1;
      await(() -> runtime.starts.size() == begun);
      runtime.moveAway();
      reload();
      assertEquals(FakeRuntime.result("body " + tag), client.answer().get(3));
    }
    assertEquals(3, count("runs.ok"));
    assertEquals(3, runtime.starts.size());
  }

  @Test
  void aReloadInTheMiddleOfADialGoesToTheLastAddress() throws IOException {
    startReady();
    runtime.moveAway();
    node.reload(ProcessConfig.of(TestSite.config(1, 1, 1, 2_000, 500))); // nobody listens there
    reload();
    reload();
    assertEquals("OK", answer("card-refresh").get(1));
  }

  @Test
  void theIndexAndTheRosterMoveAndOldCallsMayEnd() throws IOException {
    startReady();
    index.answers.add("wait");
    send("card-refresh", null);
    await(() -> index.lines.size() == 1);
    index.moveAway();
    roster.moveAway();
    long reports = roster.reports.size();
    reload();
    await(() -> roster.reports.size() > reports);
    index.release.countDown();
    assertEquals("OK", client.answer().get(1));
    assertEquals(1, count("calls.hit"));
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(2, count("calls.hit"));
  }

  @Test
  void aReloadInADrainCarriesOn() throws IOException {
    startReady();
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    node.beginShutdown(() -> {});
    runtime.moveAway();
    reload();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
  }

  /**
   * Guards requests against new settings: what is open keeps its class, only new requests go by the
   * new names.
   */
  @Test
  void newSettingsTakeEffectForWhatComesAfterThem() throws IOException {
    startReady();
    send("card-load", "k");
    await(() -> runtime.starts.size() == 1);
    String file =
        TestSite.config(runtime.port(), index.port(), roster.port(), 2_000, 500)
            .source()
            .toString();
    for (int round = 1;
        round <= 30;
        round++) { // many reloads, each with another name for two classes
      NodeConfig fresh =
          NodeConfigReader.parse(
              file.replace("card-load", "load-" + round)
                  .replace("balance-check", "check-" + round)
                  .replace("\"name\":\"big\"", "\"name\":\"big-" + round + "\""),
              Map.of());
      node.reload(ProcessConfig.of(fresh));
    }
    assertEquals(
        FakeRuntime.result("body 1"), client.answer().get(3)); // it runs on, as what it came as
    assertEquals("FAILED", answer("card-load").get(1));
    assertEquals("FAILED", answer("balance-check").get(1));
    assertEquals("OK", answer("check-30").get(1));
    assertEquals("OK", answer("card-refresh").get(1));
    send("load-30", "k2");
    assertEquals("OK", client.answer().get(1));
    assertTrue(
        runtime.starts.get(runtime.starts.size() - 1).contains("load-30"),
        runtime.starts.toString());
    node.reload(ProcessConfig.of(NodeConfigReader.parse(file, Map.of())));
    send("card-load", "k");
    client.send(
        RespClient.array(
            "DO",
            90,
            "card-load",
            RespClient.fields("00000000000000f9", "small", 900, "k"),
            "body 1")); // the first of them has another body under that key, this one the first's
    assertEquals("FAILED", client.answer().get(1));
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * Guards an honest balancer that a reload left with a name too many: its other requests are no
   * mistakes.
   */
  @Test
  void whoAlsoSendsWhatIsRightIsNotShutOut() throws IOException {
    startReady();
    for (int i = 0; i < 200; i++) {
      assertEquals("FAILED", answer("no-such-class").get(1));
      if (i % 50 == 0) {
        assertEquals("OK", answer("balance-check").get(1));
      }
    }
  }

  private void reload() {
    node.reload(
        ProcessConfig.of(TestSite.config(runtime.port(), index.port(), roster.port(), 2_000, 500)));
  }

  @Test
  void aCommandThatTheBrokenLinkSwallowedIsSentAgain() throws IOException {
    startReady();
    runtime.swallow = 1;
    send("balance-check", null);
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, count("runtime.resent"));
  }

  @Test
  void aKeyedStartThatMayHaveArrivedIsNotSentAgainAndFailsAtOnce() throws IOException {
    startReady();
    runtime.swallow = 1;
    long sentNs = System.nanoTime();
    send("card-load", "k"); // its runs may end without a call: a repeat could run it twice
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals("FAILED", client.answer().get(1));
    assertTrue(System.nanoTime() - sentNs < 700_000_000, "it hung until its due time");
    assertEquals(0, runtime.starts.size());
  }

  @Test
  void aKeyedStartWhoseRunMustCallFirstIsSentAgain() throws IOException {
    node =
        new Node(
            ProcessConfig.of(
                TestSite.config(runtime.port(), index.port(), roster.port(), 2_000, 500, true)),
            NodeEnvironment.standalone(log));
    node.start();
    client = new RespClient(node.port(), null);
    await(this::ready);
    runtime.swallow = 1;
    send("card-load", "k");
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    runtime.cut(); // the run has shown its end: nothing is sent again
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  @Test
  void whatCannotBeReadOnTheLinkCostsNoOtherRun() throws IOException {
    startReady();
    runtime.spoil =
        "{\"type\":\"info\",\"n\":true,\"state\":\"x\"}\n[]\n{\"type\":\"end\"\n"
            + "{\"type\":\"end\",\"job\":\"0000000000000001\",\"state\":\"ok\",\"data\":\"?!\"}\n";
    send("balance-check", null);
    assertEquals("FAILED", client.answer().get(1)); // its end came, its result can't be read
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(0, count("runtime.unreached"));
    assertEquals(1, count("runs.cut"));
  }

  @Test
  void aStartThatIsNotCarriedOutFailsAndLeavesTheKeyFree() throws IOException {
    startReady();
    runtime.nackStarts = true;
    send("card-load", "k");
    assertEquals("FAILED", client.answer().get(1));
    runtime.nackStarts = false;
    client.send(
        RespClient.array(
            "DO",
            9,
            "card-load",
            RespClient.fields("00000000000000f9", "small", 900, "k"),
            "body 1"));
    assertEquals("OK", client.answer().get(1));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * Guards a node against a link that stays open and brings nothing: it must not wait for that for
   * ever.
   */
  @Test
  void aLinkThatFallsSilentIsMadeAnew() throws IOException {
    startReady();
    assertEquals("OK", answer("balance-check").get(1));
    runtime.mute();
    await(() -> count("runtime.silent") == 1);
    client.close();
    client = new RespClient(node.port(), null); // the other stood idle for too long
    await(() -> answered("balance-check").equals("OK"));
    assertEquals(1, count("runtime.silent"));
  }

  private String answered(String klass) {
    try {
      return answer(klass).get(1);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  // ---- the index

  @Test
  void aCallIsMadeWithTheRunsBodyAndItsReplyGoesBack() throws IOException {
    startReady();
    assertEquals("OK", answer("card-refresh").get(1));
    assertTrue(
        index.lines.get(0).matches("GET 0000000000000001 [0-9]+ 25"), index.lines.toString());
    assertEquals(
        List.of("call for 0000000000000001 -> reply to call for 0000000000000001"), runtime.gives);
  }

  @Test
  void eachOutcomeIsWhatItProves() throws IOException {
    startReady();
    index.answers.addAll(List.of("SHED", "HIT", "BROKEN", "HIT", "NOBODY", "SLOW", "cut", "HIT"));
    for (int i = 0; i < 4; i++) { // reads may call again after any failure; all end well
      assertEquals("OK", answer("card-refresh").get(1));
    }
    assertEquals(8, index.lines.size());
    for (String end : List.of("shed", "broken", "unreached", "slow", "cut")) {
      assertEquals(1, count("calls." + end), end);
    }
  }

  @Test
  void anIndexThatIsDownProvesThatNoCallRan() throws IOException {
    startReady();
    index.close();
    assertEquals("OK", answer("card-refresh").get(1)); // served without the call
    assertTrue(count("calls.unreached") > 0);
    assertEquals(0, count("calls.cut"));
  }

  @Test
  void aWithdrawnRequestsCallIsStopped() throws IOException {
    startReady();
    index.answers.add("");
    String id = send("card-refresh", null);
    await(() -> index.lines.size() == 1);
    client.send(RespClient.array("UNDO", tag));
    await(() -> index.lines.contains("STOP " + id) && runtime.commands.contains("stop " + id));
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(
        2, count("index.connections")); // a reply that never came may still come on the first
    assertEquals(0, ask(Core::inFlight));
  }

  @Test
  void aSpoiltReplyCostsNoOtherCall() throws IOException {
    startReady();
    List<String> spoilt =
        List.of(
            "noise\u0000\u00ff\n",
            "ID HIT 3000000000\r\nxxxx",
            "ID HIT -4\r\n",
            "ID HIT many\r\n",
            "ID HIT 2\r\nabcd\r\n",
            "ID MAYBE\r\n",
            "ID HIT\r\n",
            "x".repeat(100),
            "nobody SHED\r\n");
    for (String text : spoilt) {
      index.answers.addAll(
          List.of("wait", "raw " + text)); // the first is out while the second is spoilt
      send("card-refresh", null);
      await(() -> index.answers.size() == 1);
      send("card-refresh", null);
      assertEquals("OK", client.answer().get(1)); // a read may call again
      index.release.countDown();
      assertEquals("OK", client.answer().get(1));
      index.release = new CountDownLatch(1);
    }
    assertEquals(spoilt.size(), count("calls.broken"));
    assertEquals(0, count("calls.cut"));
    assertEquals(2 * spoilt.size(), count("calls.hit"));
  }

  @Test
  void copiesAndStrangersInFrontAreNoReplies() throws IOException {
    startReady();
    String hit = "ID HIT 2\r\nok\r\n";
    index.answers.addAll(
        List.of(
            "raw 00000000000000ff HIT 3\r\nbad\r\n" + hit,
            "raw ID SHED\r\nID HIT 3\r\nbad\r\n",
            "raw " + hit + hit,
            "HIT"));
    for (int i = 0;
        i < 3;
        i++) { // the second calls twice: the surplus reply to its first call is not the second's
      assertEquals("OK", answer("card-refresh").get(1));
    }
    assertTrue(runtime.gives.stream().noneMatch(g -> g.contains("bad")), runtime.gives.toString());
    assertEquals(3, count("calls.hit"));
    assertEquals(1, count("calls.shed"));
  }

  @Test
  void aConnectionThatStoodIdleIsNotUsedAgain() throws Exception {
    startReady();
    assertEquals("OK", answer("card-refresh").get(1));
    Thread.sleep(300);
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(2, count("index.connections"));
  }

  // ---- the roster

  @Test
  void theNodeReportsEachSecondWhateverTheRosterDoes() throws IOException {
    roster.mood = "";
    startReady();
    await(
        () ->
            roster.reports.size()
                == 2); // the first got no answer: it was given up, and a new link made
    roster.mood = "503";
    await(() -> roster.reports.size() == 3);
    roster.mood = "204";
    await(() -> count("roster.reports") == 1);
    assertEquals("PUT /roster/t1 HTTP/1.1 {\"duty\":\"on\"}", roster.reports.get(0));
  }

  /**
   * Guards a drain by call against that of SIGTERM: only health checks may hear of it, and nothing
   * is turned away.
   */
  @Test
  void whatOperatorsSayReachesHealthChecksAloneAndEndsWithTheirWord() throws IOException {
    Counters counters = new Counters();
    TakeoverCoordinator handover = TakeoverCoordinator.join(Optional.empty(), counters, log);
    NodeOperations operators = new NodeOperations(handover, new NoFleet());
    operators.drain(); // before the node stands
    node =
        new Node(
            ProcessConfig.of(
                TestSite.config(runtime.port(), index.port(), roster.port(), 2_000, 500)),
            new NodeEnvironment(
                new EventLoop(log),
                handover,
                new NoEstimatePersistence(),
                new NoFleet(),
                counters,
                log));
    node.start();
    node.onLoop(() -> operators.attach(node));
    client = new RespClient(node.port(), null);
    await(this::ready);
    for (int round = 0; round < 2; round++) { // told twice is told once
      node.onLoop(operators::drain);
      assertEquals("DOWN", check());
      assertEquals("OK", answer("balance-check").get(1));
    }
    reload();
    assertEquals("DOWN", check());
    assertEquals(0, client.byes);
    assertEquals(true, ask(core -> operators.isReady()));
    node.onLoop(operators::activate);
    assertEquals("UP", check());
    assertEquals(1, count("operators.drains"));
    assertTrue(
        roster.reports.stream().noneMatch(r -> r.contains("off")), roster.reports.toString());
  }

  private String check() throws IOException {
    client.send(RespClient.array("PING", 999, ""));
    return client.answer().get(1);
  }

  /**
   * Guards a release while the roster is down: the node serves and leaves without it, and tells it
   * when it is back.
   */
  @Test
  void aRosterThatIsDownHoldsNothingUpAndIsToldWhenItIsBack() throws Exception {
    roster.down();
    startReady();
    assertEquals("OK", answer("balance-check").get(1));
    await(() -> count("roster.failed") >= 3); // tried again sooner than the next second's report
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    Thread.sleep(300);
    roster.up();
    await(() -> !roster.reports.isEmpty());
    assertTrue(roster.reports.get(0).contains("off"), roster.reports.toString());
    roster.down();
    client.close();
    left.get(2, TimeUnit.SECONDS);
  }

  @Test
  void theNoticeToLeaveIsReportedAtOnce() throws Exception {
    startReady();
    await(() -> count("roster.reports") > 0);
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    await(() -> roster.reports.get(roster.reports.size() - 1).contains("off"));
    client.send(RespClient.array("PING", 5, ""));
    assertEquals("DOWN", client.answer().get(1));
    assertEquals("OK", answer("balance-check").get(1)); // within the grace
    await(() -> ask(Core::gracePeriodEnded));
    Thread.sleep(5); // requests tell whole milliseconds
    assertEquals(
        "BUSY", answer("balance-check").get(1)); // behind it: nothing is run, all is answered
    assertTrue(client.byes > 0);
    client.close();
    left.get(2, TimeUnit.SECONDS);
  }
}
