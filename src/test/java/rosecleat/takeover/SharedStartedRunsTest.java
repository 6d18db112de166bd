package rosecleat.takeover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.core.Counters;
import rosecleat.core.StartedRuns;
import rosecleat.log.Log;

/**
 * Guards against a second run of a request that comes again under its id at the other process of an
 * upgrade.
 */
class SharedStartedRunsTest {
  private static final String ID = "9b1f03aa5c7e2d41";
  private static final String OTHER_ID = "9b1f03aa5c7e2d42";
  private static final long SECOND_US = 1_000_000;

  @TempDir Path folder;

  private TakeoverCoordinator join() throws Exception {
    return TakeoverCoordinator.join(Optional.of(folder), new Counters(), Log.silent());
  }

  @Test
  void runsOfThePredecessorAreKnownAtOnce() throws Exception {
    try (TakeoverCoordinator older = join()) {
      older.startedRuns().starting(ID);
      try (TakeoverCoordinator newer = join()) {
        assertTrue(newer.startedRuns().mayHaveRun(ID));
        assertFalse(newer.startedRuns().mayHaveRun(OTHER_ID));
        older.startedRuns().starting(OTHER_ID);
        assertTrue(newer.startedRuns().mayHaveRunInPeer(OTHER_ID));
        older.startedRuns().neverRan(OTHER_ID);
        assertFalse(newer.startedRuns().mayHaveRun(OTHER_ID));
      }
    }
  }

  /** The older process has not polled since the newer one joined. */
  @Test
  void runsOfTheSuccessorAreKnownBeforeTheNextPoll() throws Exception {
    try (TakeoverCoordinator older = join();
        TakeoverCoordinator newer = join()) {
      newer.startedRuns().starting(ID);
      assertTrue(older.startedRuns().mayHaveRunInPeer(ID));
    }
  }

  @Test
  void runsOfProcessThatHasEndedStayKnown() throws Exception {
    StartedRuns runs;
    try (TakeoverCoordinator newer = joinAfterPredecessorRan()) {
      runs = newer.startedRuns();
      for (int second = 1; second < 5; second++) {
        newer.poll(second * SECOND_US);
      }
      assertTrue(runs.mayHaveRun(ID));
    }
  }

  private TakeoverCoordinator joinAfterPredecessorRan() throws Exception {
    try (TakeoverCoordinator older = join()) {
      older.startedRuns().starting(ID);
      return join();
    }
  }
}
