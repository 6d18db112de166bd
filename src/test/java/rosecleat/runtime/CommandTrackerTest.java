package rosecleat.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class CommandTrackerTest {
  private static final long NOW_US = 10_000_000;

  private final CommandTracker tracker = new CommandTracker();

  private static RunCommand command(String runId) {
    return new RunCommand(runId, "start " + runId, true, 0);
  }

  private List<String> runsInDoubt() {
    return tracker.takeInDoubt().stream().map(RunCommand::runId).toList();
  }

  @Test
  void onlyCommandsSentShortlyBeforeTheLossAreInDoubt() {
    tracker.sent(command("early"), NOW_US - 1_000_001);
    tracker.sent(command("late"), NOW_US - 1_000_000);
    tracker.connectionLost(NOW_US);
    assertEquals(List.of("late"), runsInDoubt());
  }

  @Test
  void acknowledgedAndSupersededCommandsAreNotInDoubt() {
    tracker.sent(command("acknowledged"), NOW_US);
    tracker.sent(command("superseded"), NOW_US);
    tracker.connectionLost(NOW_US);
    tracker.acknowledge("acknowledged");
    tracker.supersede("superseded");
    assertFalse(tracker.hasInDoubt());
  }

  @Test
  void commandsStayInDoubtOverASecondLossHoweverMuchLater() {
    tracker.sent(command("a"), NOW_US);
    tracker.connectionLost(NOW_US);
    tracker.connectionLost(NOW_US + 60_000_000);
    assertEquals(List.of("a"), runsInDoubt());
  }

  @Test
  void resentIsReportedOnceAndForgottenByTheNextRound() {
    tracker.resending("a");
    assertTrue(tracker.wasResent("a"));
    assertFalse(tracker.wasResent("a"));
    tracker.resending("b");
    tracker.takeInDoubt();
    assertFalse(tracker.wasResent("b"));
  }

  @Test
  void queueIsBounded() {
    for (int i = 0; i < 4_096; i++) {
      assertTrue(tracker.queue(command("run" + i)));
    }
    assertFalse(tracker.queue(command("one too many")));
    assertEquals("run0", tracker.firstQueued().runId());
  }
}
