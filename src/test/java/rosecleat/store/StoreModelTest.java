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
 * The store against a model: a list of batches, those acknowledged and those in doubt. Random
 * writes, compactions, starts, crashes, full disks and errors; after each crash what counts holds
 * all that was acknowledged, in order.
 */
class StoreModelTest {
  private static final long MOST = 1 << 20;
  private final Texts owner = new Texts();

  @Property(tries = 400, seed = "20261201", shrinking = net.jqwik.api.ShrinkingMode.BOUNDED)
  void whatIsAcknowledgedStays(
      @ForAll long seed, @ForAll @Size(min = 5, max = 80) List<@IntRange(max = 99) Integer> steps)
      throws IOException {
    FaultyDisk disk = new FaultyDisk(seed);
    disk.shortReads = 0.2;
    Random random = new Random(seed);
    Texts.Lines model = new Texts.Lines(); // acknowledged
    List<List<String>> doubts =
        new ArrayList<>(); // failed: after a crash one of them may count, whole or its first part
    Engine engine = new Engine(disk, owner, MOST, Recovery.read(disk, owner));
    int next = 0;
    for (int step : steps) {
      try {
        if (step < 55) {
          List<String> batch = new ArrayList<>();
          for (int i = random.nextInt(3); i >= 0; i--) {
            batch.add(
                random.nextInt(8) == 0
                    ? "=" + random.nextInt(6)
                    : "line " + next++ + "x".repeat(random.nextInt(200)));
          }
          doubts.add(batch);
          engine.write(batch.stream().map(Texts::entry).toList());
          doubts.clear();
          batch.forEach(model::add);
        } else if (step < 70) {
          Engine.Compaction c = engine.compaction();
          try {
            c.run();
          } catch (IOException e) {
            engine.abandon(c);
            throw e;
          }
          engine.finish(c);
        } else if (step < 78) {
          disk.failing = disk.failing > 0 ? 0 : 0.3;
        } else if (step < 86) {
          disk.room = limited(disk) ? FaultyDisk.PLENTY : random.nextInt(2_000);
        } else if (step < 92) {
          disk.crashAt = disk.calls + random.nextInt(12);
        } else {
          if (step < 96) {
            engine.close();
          }
          engine = restarted(disk, model, doubts);
        }
      } catch (FaultyDisk.PowerLoss e) {
        engine = restarted(disk, model, doubts);
      } catch (IOException e) {
        assertTrue(disk.failing > 0 || limited(disk), "failed on a good disk: " + e);
      }
    }
    restarted(disk, model, doubts);
  }

  private static boolean limited(FaultyDisk disk) {
    return disk.room < FaultyDisk.PLENTY / 2;
  }

  private Engine restarted(FaultyDisk disk, Texts.Lines model, List<List<String>> doubts)
      throws IOException {
    disk.restart();
    disk.failing = 0;
    disk.room = FaultyDisk.PLENTY;
    Recovered found = Recovery.read(disk, owner);
    assertFalse(found.damaged(), "a crash looks like damage: " + found.findings());
    List<String> got = List.copyOf(Texts.of(found));
    List<List<String>> allowed = new ArrayList<>(List.of(model.lines));
    for (List<String> doubt : doubts) {
      Texts.Lines with = new Texts.Lines();
      with.lines.addAll(model.lines);
      for (String line : doubt) {
        with.add(line);
        allowed.add(List.copyOf(with.lines));
      }
    }
    assertTrue(allowed.contains(got), () -> got + " is none of " + allowed);
    doubts.clear();
    model.lines.clear();
    model.lines.addAll(got);
    return new Engine(disk, owner, MOST, found);
  }
}
