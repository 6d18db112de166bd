package rosecleat.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class CommandTrackerTest {
  private final CommandTracker tracker = new CommandTracker();

  private static RunCommand command(String runId) {
    return new RunCommand(runId, "start " + runId, RunCommand.Recovery.RESEND);
  }

  private List<String> runsInDoubt() {
    return tracker.takeInDoubt().stream().map(RunCommand::runId).toList();
  }

  @Test
  void unacknowledgedCommandIsInDoubtAfterConnectionLoss() {
    tracker.sent(command("proven"));
    long sentBeforeRequest = tracker.sentCount();
    tracker.sent(command("late"));
    tracker.acknowledgeThrough(sentBeforeRequest);
    tracker.connectionLost();
    assertEquals(List.of("late"), runsInDoubt());
  }

  @Test
  void acknowledgementOnNewConnectionDoesNotCoverCommandsOfLostConnection() {
    tracker.sent(command("lost"));
    tracker.connectionLost();
    tracker.sent(command("next"));
    tracker.acknowledgeThrough(tracker.sentCount());
    tracker.connectionLost();
    assertEquals(List.of("lost"), runsInDoubt());
  }

  /**
   * An acknowledgement of an earlier command of a run must not count for the run's last command.
   */
  @Test
  void acknowledgementOfEarlierCommandDoesNotCoverLaterCommandOfSameRun() {
    tracker.sent(command("a"));
    long sentBeforeRequest = tracker.sentCount();
    tracker.supersede("a");
    tracker.sent(command("a"));
    tracker.acknowledgeThrough(sentBeforeRequest);
    tracker.connectionLost();
    assertEquals(List.of("a"), runsInDoubt());
  }

  @Test
  void acknowledgedAndSupersededCommandsAreNotInDoubt() {
    tracker.sent(command("acknowledged"));
    tracker.sent(command("superseded"));
    tracker.connectionLost();
    tracker.acknowledge("acknowledged");
    tracker.supersede("superseded");
    assertFalse(tracker.hasInDoubt());
  }

  @Test
  void commandsStayInDoubtAfterSecondConnectionLoss() {
    tracker.sent(command("a"));
    tracker.connectionLost();
    tracker.connectionLost();
    assertEquals(List.of("a"), runsInDoubt());
  }

  @Test
  void resentRunIsReportedOnceAndClearedByNextResolution() {
    tracker.markResent("a");
    assertTrue(tracker.wasResent("a"));
    assertFalse(tracker.wasResent("a"));
    tracker.markResent("b");
    tracker.takeInDoubt();
    assertFalse(tracker.wasResent("b"));
  }

  @Test
  void queueRejectsCommandsBeyondItsLimit() {
    for (int i = 0; i < 4_096; i++) {
      assertTrue(tracker.queue(command("run" + i)));
    }
    assertFalse(tracker.queue(command("one too many")));
    assertEquals("run0", tracker.firstQueued().runId());
  }
}
