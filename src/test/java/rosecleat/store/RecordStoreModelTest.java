package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Compares the store with a model: the acknowledged lines and the batches that failed. The steps
 * are random writes, compactions, restarts, crashes, full disks and input/output errors. After each
 * restart, the recovered state must contain all acknowledged lines in order.
 */
class RecordStoreModelTest {
  private static final long MAX_BYTES = 1 << 20;
  private final TextLines factory = new TextLines();

  @Property(tries = 400, seed = "20261201", shrinking = net.jqwik.api.ShrinkingMode.BOUNDED)
  void acknowledgedRecordsSurviveEveryFault(
      @ForAll long seed, @ForAll @Size(min = 5, max = 80) List<@IntRange(max = 99) Integer> steps)
      throws IOException {
    FaultyRun run = new FaultyRun(seed);
    for (int step : steps) {
      run.perform(step);
    }
    run.restart();
  }

  /** A store on a directory that injects faults, and the model of its expected content. */
  private final class FaultyRun {
    private final FaultyDirectory disk;
    private final Random random;
    private final TextLines.Lines acknowledged = new TextLines.Lines();

    /** Failed batches: after a crash, all or the first records of one of them may be recovered. */
    private final List<List<String>> unacknowledged = new ArrayList<>();

    private StorageEngine engine;
    private int nextLine;

    FaultyRun(long seed) throws IOException {
      disk = new FaultyDirectory(seed);
      disk.shortReadRate = 0.2;
      random = new Random(seed);
      engine = new StorageEngine(disk, factory, MAX_BYTES, Recovery.run(disk, factory));
    }

    void perform(int step) throws IOException {
      try {
        if (step < 55) {
          write();
        } else if (step < 70) {
          compact();
        } else if (step < 78) {
          disk.failureRate = disk.failureRate > 0 ? 0 : 0.3;
        } else if (step < 86) {
          disk.freeBytes = hasLimitedSpace() ? FaultyDirectory.UNLIMITED : random.nextInt(2_000);
        } else if (step < 92) {
          disk.powerLossAt = disk.changes + random.nextInt(12);
        } else {
          if (step < 96) {
            engine.close();
          }
          restart();
        }
      } catch (FaultyDirectory.PowerLoss e) {
        restart();
      } catch (IOException e) {
        assertTrue(
            disk.failureRate > 0 || hasLimitedSpace(),
            "failed although no fault was injected: " + e);
      }
    }

    private void write() throws IOException {
      List<String> batch = new ArrayList<>();
      for (int i = random.nextInt(3); i >= 0; i--) {
        batch.add(
            random.nextInt(8) == 0
                ? "=" + random.nextInt(6)
                : "line " + nextLine++ + "x".repeat(random.nextInt(200)));
      }
      unacknowledged.add(batch);
      engine.write(batch.stream().map(TextLines::record).toList());
      unacknowledged.clear();
      batch.forEach(acknowledged::add);
    }

    private void compact() throws IOException {
      Compaction compaction = engine.prepareCompaction();
      try {
        compaction.run();
      } catch (IOException e) {
        engine.abandon(compaction);
        throw e;
      }
      engine.install(compaction);
    }

    private boolean hasLimitedSpace() {
      return disk.freeBytes < FaultyDirectory.UNLIMITED / 2;
    }

    void restart() throws IOException {
      disk.restart();
      disk.failureRate = 0;
      disk.freeBytes = FaultyDirectory.UNLIMITED;
      RecoveryReport recovered = Recovery.run(disk, factory);
      assertFalse(
          recovered.hasCorruption(), "a crash is reported as corruption: " + recovered.issues());
      List<String> lines = List.copyOf(TextLines.of(recovered));
      List<List<String>> allowed = allowedStates();
      assertTrue(allowed.contains(lines), () -> "recovered " + lines + ", allowed are " + allowed);
      unacknowledged.clear();
      acknowledged.lines.clear();
      acknowledged.lines.addAll(lines);
      engine = new StorageEngine(disk, factory, MAX_BYTES, recovered);
    }

    private List<List<String>> allowedStates() {
      List<List<String>> allowed = new ArrayList<>(List.of(acknowledged.lines));
      for (List<String> batch : unacknowledged) {
        TextLines.Lines applied = new TextLines.Lines();
        applied.lines.addAll(acknowledged.lines);
        for (String line : batch) {
          applied.add(line);
          allowed.add(List.copyOf(applied.lines));
        }
      }
      return allowed;
    }
  }
}
