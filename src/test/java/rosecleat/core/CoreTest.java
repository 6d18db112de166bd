package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;

/**
 * The life of requests in the core, on a clock of the test's own: no wire, no thread, no waiting.
 */
class CoreTest {
  private static final long WINDOW_US = 4_000_000;

  /** One try as its front sees it. */
  private static final class Try implements Responder {
    final List<Response> answers = new ArrayList<>();
    final List<Long> times = new ArrayList<>();
    RequestHandle handle;
    String id;

    @Override
    public void respond(Response response) {
      answers.add(response);
    }

    Response only() {
      assertEquals(1, answers.size(), "answers: " + answers);
      return answers.get(0);
    }

    byte[] served() {
      return assertInstanceOf(Response.Completed.class, only()).result();
    }

    Progress failed() {
      return assertInstanceOf(Response.Failed.class, only()).failure().progress();
    }
  }

  private final List<String> orders = new ArrayList<>();
  private final Log log = new Log(new java.io.PrintStream(java.io.OutputStream.nullOutputStream()));
  private long now = 1_800_000_000_000_000L;
  private Core core;
  private int ids;

  private final Runner runner =
      new Runner() {
        @Override
        public void start(Request request, long dueUs) {
          orders.add("start " + request.id());
        }

        @Override
        public void cancel(String id) {
          orders.add("stop " + id);
        }

        @Override
        public void completeCall(String id, byte[] reply) {
          orders.add("give " + id);
        }

        @Override
        public void skipCall(String id, long notice) {
          orders.add("omit " + id + " " + notice);
        }
      };

  private final DownstreamClient ledger =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {
          orders.add("call " + id);
        }

        @Override
        public void cancel(String id) {
          orders.add("cancel " + id);
        }
      };

  @BeforeEach
  void start() {
    start(1 << 20);
  }

  private void start(long resultBytes) {
    core = fresh(resultBytes);
    core.start(false, 0);
  }

  private Core fresh(long resultBytes) {
    NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
    List<RequestClass> classes =
        List.of(
            new RequestClass("balance-check", false, false, 0, 1_200_000),
            new RequestClass("card-refresh", false, true, 0, 1_200_000),
            new RequestClass("card-load", true, false, WINDOW_US, 1_200_000));
    return new Core(
        new CoreSettings(
            TestSite.CORES,
            classes,
            List.of("big", "small"),
            80_000,
            1_500_000,
            30_000_000,
            resultBytes),
        new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
        ledger,
        () -> now,
        new Counters(),
        log);
  }

  @AfterEach
  void stop() {
    log.close();
  }

  private Try send(int klass, String once, String body) {
    Try one = new Try();
    one.id = "id" + ++ids;
    one.handle =
        core.submit(
            new Request(
                one.id,
                now,
                1_200_000,
                klass,
                List.of("balance-check", "card-refresh", "card-load").get(klass),
                0,
                1,
                false,
                10,
                0.5,
                once,
                0,
                body.getBytes(),
                Map.of(),
                runner,
                one));
    return one;
  }

  private Try load(String once) {
    return send(2, once, "load " + once);
  }

  private void end(Try one, RunResult how, String result) {
    core.runEnded(one.id, how, result == null ? null : result.getBytes(), 10_000);
  }

  private void pass(long us) {
    for (long end = now + us; now < end; now += 20_000) {
      core.tick();
    }
  }

  private long starts() {
    return orders.stream().filter(o -> o.startsWith("start")).count();
  }

  @Test
  void aRepeatWaitsForTheFirstAndGetsItsBytes() {
    Try first = load("a");
    Try second = load("a");
    assertEquals(1, starts());
    end(first, RunResult.OK, "done");
    Try third = load("a");
    assertArrayEquals("done".getBytes(), first.served());
    assertArrayEquals("done".getBytes(), second.served());
    assertArrayEquals("done".getBytes(), third.served());
    assertEquals(1, starts());
  }

  @Test
  void anotherBodyUnderAKeyIsRefusedHoweverMuchItLooksTheSame() {
    Try first = send(2, "k", "Aa");
    Try held = send(2, "k", "BB"); // of one hash code
    assertEquals(Progress.NOT_SENT, held.failed());
    end(first, RunResult.OK, "done");
    assertEquals(Progress.NOT_SENT, send(2, "k", "BB").failed());
    assertArrayEquals("done".getBytes(), send(2, "k", "Aa").served());
    assertEquals(1, starts());
  }

  @Test
  void aRunThatFailedIsNotRunAgain() {
    Try first = load("a");
    Try second = load("a");
    end(first, RunResult.FAILED, null);
    assertEquals(Progress.RAN, first.failed());
    assertEquals(Progress.MAY_HAVE_RUN, second.failed());
    assertEquals(Progress.MAY_HAVE_RUN, load("a").failed());
    assertEquals(1, starts());
  }

  @Test
  void aWithdrawnLoadRunsOnForItsRepeat() {
    Try first = load("a");
    first.handle.cancel();
    Try second = load("a");
    end(first, RunResult.OK, "done");
    assertTrue(first.answers.isEmpty());
    assertArrayEquals("done".getBytes(), second.served());
    assertEquals(List.of("start id1"), orders);
  }

  @Test
  void theWindowCountsFromTheArrivalOfTheTryThatRan() {
    Try first = load("a");
    end(first, RunResult.OK, "done");
    pass(WINDOW_US - 100_000);
    assertArrayEquals("done".getBytes(), load("a").served());
    assertEquals(1, starts());
    pass(400_000);
    load("a"); // the window is over: new work
    assertEquals(2, starts());
  }

  @Test
  void aTryReadLateCountsByItsArrival() {
    end(load("a"), RunResult.OK, "done");
    long arrived = now + WINDOW_US;
    pass(WINDOW_US + 600_000); // the entry has lapsed by the clock, but not when this try came
    Try late = new Try();
    core.submit(
        new Request(
            "late",
            arrived,
            1_200_000,
            2,
            "card-load",
            0,
            1,
            false,
            10,
            0.5,
            "a",
            0,
            "load a".getBytes(),
            Map.of(),
            runner,
            late));
    assertArrayEquals("done".getBytes(), late.served());
    assertEquals(1, starts());
  }

  @Test
  void aResultThatHadToGoFailsItsRepeatsRatherThanRunAgain() {
    start(10);
    end(load("a"), RunResult.OK, "12345678");
    end(load("b"), RunResult.OK, "12345678");
    assertEquals(Progress.MAY_HAVE_RUN, load("a").failed());
    assertArrayEquals("12345678".getBytes(), load("b").served());
    assertEquals(2, starts());
  }

  @Test
  void aRunnerThatWasNotReachedLeavesTheKeyFree() {
    Try first = load("a");
    end(first, RunResult.UNREACHABLE, null);
    assertEquals(Progress.NOT_SENT, first.failed());
    Try second = load("a");
    end(second, RunResult.OK, "done");
    assertArrayEquals("done".getBytes(), second.served());
  }

  @Test
  void whatIsGivenUpOnIsAnsweredAtOnceAndNeverAsRefusedOnceItRan() {
    Try first = send(0, null, "x");
    Try second = send(0, null, "y");
    Try held = send(0, null, "z");
    while (first.answers.isEmpty()) { // nothing ends: the module gives up by itself
      pass(20_000);
      assertTrue(ids < 10 && now < 1_800_000_002_000_000L, "never answered");
    }
    assertEquals(Progress.MAY_HAVE_RUN, first.failed());
    assertEquals(Progress.MAY_HAVE_RUN, second.failed());
    assertTrue(
        orders.contains("stop " + first.id) && orders.contains("stop " + second.id),
        orders.toString());
    assertTrue(now <= 1_800_000_000_000_000L + 1_200_000 + 130_000, "late");
    pass(1_500_000);
    assertInstanceOf(Response.Rejected.class, held.only()); // it never ran
  }

  @Test
  void aWithdrawnCallIsGivenUpAndItsRunStopped() {
    Try one = send(1, null, "x");
    core.callRequested(one.id, 7, "call".getBytes());
    assertEquals("call id1", orders.get(1));
    one.handle.cancel();
    assertEquals(List.of("cancel id1", "stop id1"), orders.subList(2, 4));
    core.callEnded(one.id, CallResult.OK, "late".getBytes()); // crosses: nothing comes of it
    end(one, RunResult.CANCELLED, null);
    assertEquals(0, core.inFlight());
    assertEquals(4, orders.size());
    assertTrue(one.answers.isEmpty());
  }

  @Test
  void aNoticeToLeaveThatComesBeforeTheCoresAreUpHolds() {
    core = fresh(1 << 20);
    assertTrue(core.healthy());
    core.drain(now, 3_000_000);
    assertTrue(!core.healthy());
    core.start(false, 0);
    assertTrue(!core.healthy());
    assertInstanceOf(Response.Rejected.class, send(0, null, "x").only());
    assertEquals(0, starts());
  }

  @Test
  void aRunWhoseEndIsLostIsForgottenInTheEnd() {
    Try first = load("a"); // of a keyed class: not stopped when it is given up on
    Try second = load("b");
    pass(1_500_000);
    assertEquals(2, core.inFlight());
    pass(32_000_000);
    assertEquals(Progress.MAY_HAVE_RUN, first.failed());
    assertEquals(Progress.MAY_HAVE_RUN, second.failed());
    assertEquals(0, core.inFlight());
    Try third = send(0, null, "x"); // the cores are free again
    end(third, RunResult.OK, "done");
    assertArrayEquals("done".getBytes(), third.served());
  }

  @Test
  void anIdInHandIsNotTakenTwice() {
    Try first = send(0, null, "x");
    ids--;
    assertEquals(Progress.NOT_SENT, send(0, null, "x").failed());
    end(first, RunResult.OK, "done");
    assertArrayEquals("done".getBytes(), first.served());
  }

  @Test
  void afterTheGraceNothingIsRunAndAtTheEndAllIsAnswered() {
    Try running = send(0, null, "x");
    core.drain(now, 3_000_000);
    end(running, RunResult.OK, "done");
    assertArrayEquals("done".getBytes(), running.served());
    pass(1_600_000);
    assertInstanceOf(Response.Rejected.class, send(0, null, "late").only());
    assertEquals(1, starts());
  }

  /**
   * Guards the grace against a loop that hears of the notice late: it is reckoned from when the
   * notice came.
   */
  @Test
  void whatComesAfterTheGraceIsNotRunThoughTheNoticeWasHeardLate() {
    long toldUs = now;
    now += 200_000; // the loop was busy
    core.drain(toldUs, 3_000_000);
    Try within = send(0, null, "a");
    now = toldUs + 1_500_000 + 100_000; // behind the grace, but not behind it as the module has it
    Try late = send(0, null, "b");
    Try keyed = send(2, "k", "c");
    assertEquals(List.of("start " + within.id), orders);
    assertInstanceOf(Response.Rejected.class, late.only());
    assertInstanceOf(Response.Rejected.class, keyed.only());
    assertEquals(2, core.counters().get("late.notrun"));
  }
}
