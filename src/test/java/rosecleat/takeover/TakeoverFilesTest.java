package rosecleat.takeover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/**
 * The files that two versions of the program exchange during an upgrade: names, bytes, symbolic
 * links and locks. The files under {@code written-by-a6781e5} were written by that commit.
 */
class TakeoverFilesTest {
  private static final Path EARLIER_VERSION_FILES =
      Path.of("src/test/resources/rosecleat/takeover/written-by-a6781e5");

  /** The end of the first claim's window; each further claim ends one microsecond later (us). */
  private static final long UNTIL_US = 1_760_000_000_000_000L;

  private static final ResourceAmounts LIMITS = new ResourceAmounts(10.5, 196_608, 100);

  private final Log log = new Log(System.err);
  private Path shared;

  @TempDir Path temporary;

  @BeforeEach
  void createSharedFolder() throws IOException {
    shared = Files.createDirectory(temporary.resolve("shared"));
  }

  @AfterEach
  void closeLog() {
    log.close();
  }

  @Test
  void namesAndBytesMatchFilesOfEarlierVersion() throws IOException {
    try (TakeoverCoordinator first = process();
        TakeoverCoordinator second = process()) {
      writeAsTwoProcesses(first, second);
      Path earlier = Files.createDirectory(temporary.resolve("earlier"));
      restore(earlier);
      assertEquals(snapshot(earlier), snapshot(shared));
    }
  }

  @Test
  void filesOfLiveProcessesOfEarlierVersionAreRead() throws IOException {
    restore(shared);
    try (FileChannel one = lock("process-1");
        FileChannel two = lock("process-2");
        TakeoverCoordinator third = process()) {
      assertTrue(Files.exists(file("process-3")));
      assertTrue(third.predecessorIsAlive());
      assertFalse(third.successorTakesOver());
      assertTrue(third.isDrained());
      ResourceAmounts limits = new ResourceAmounts(20, 200_000, 300);
      assertEquals(
          new ResourceAmounts(9.5, 3_392, 200),
          third.grant(limits, ResourceAmounts.NONE, List.of(0.0), false));
      readClaims(third.claims());
      assertEquals(new IdempotencyClaims.Pending(), third.claims().peerRun("running"));
      assertEquals(new IdempotencyClaims.Pending(), third.claims().peerRun("of-the-second"));
      assertTrue(one.isOpen() && two.isOpen());
    }
  }

  @Test
  void successorOfEarlierVersionIsDetectedAsAliveAndServing() throws IOException {
    try (TakeoverCoordinator first = process()) {
      assertFalse(first.successorTakesOver());
      copy("process-2");
      try (FileChannel two = lock("process-2")) {
        first.poll(1);
        assertTrue(first.successorTakesOver());
        assertFalse(first.successorIsServing());
        copy("serves-2");
        first.poll(2);
        assertTrue(first.successorIsServing());
        assertTrue(two.isOpen());
      }
      first.poll(3);
      assertFalse(first.successorTakesOver());
      assertFalse(first.successorIsServing());
    }
  }

  @Test
  void filesOfDeadProcessesOfEarlierVersionAreReadAndRemoved() throws IOException {
    restore(shared);
    try (TakeoverCoordinator third = process()) {
      assertFalse(third.predecessorIsAlive());
      readClaims(third.claims());
      assertEquals(new IdempotencyClaims.NoResult(), third.claims().peerRun("running"));
      third.poll(UNTIL_US - 1);
      assertEquals(Set.of("drained", "keys", "process-3"), names(shared.resolve("rosecleat")));
      readClaims(third.claims());
      third.poll(UNTIL_US + 4_000_000 + 3_000_000 + 6);
      assertEquals(Set.of(), names(file("keys")));
    }
  }

  @Test
  void processFileStaysLockedUntilProcessCloses() throws IOException {
    TakeoverCoordinator first = process();
    try (FileChannel probe = FileChannel.open(file("process-1"), StandardOpenOption.WRITE)) {
      assertThrows(OverlappingFileLockException.class, probe::tryLock);
      first.close();
      try (FileLock lock = probe.tryLock()) {
        assertNotNull(lock);
      }
    }
  }

  @Test
  void drainFileFollowsOperatorCommands() throws IOException {
    try (TakeoverCoordinator first = process()) {
      first.setDrained(true);
      assertEquals(0, Files.size(file("drained")));
      first.setDrained(false);
      assertFalse(Files.exists(file("drained")));
      copy("drained");
      first.poll(1);
      assertTrue(first.isDrained());
      Files.delete(file("drained"));
      first.poll(2);
      assertFalse(first.isDrained());
    }
  }

  /** Repeats the calls that produced the files of the earlier version. */
  private static void writeAsTwoProcesses(TakeoverCoordinator first, TakeoverCoordinator second) {
    first.markServing();
    second.markServing();
    first.poll(1_000_000);
    first.grant(LIMITS, new ResourceAmounts(8.25, 2_048.5, 20), List.of(8.25, 7.5, 0.0), false);
    second.poll(1_000_000);
    second.grant(LIMITS, new ResourceAmounts(1, 512, 3), List.of(1.0, 0.0), false);
    first.setDrained(true);
    IdempotencyClaims claims = first.claims();
    claims.claim("served", digest(), UNTIL_US);
    claims.completed("served", "result".getBytes(StandardCharsets.US_ASCII));
    claims.claim("served-empty", digest(), UNTIL_US + 1);
    claims.completed("served-empty", new byte[0]);
    claims.claim("failed", digest(), UNTIL_US + 2);
    claims.endedWithoutResult("failed");
    claims.claim("running", digest(), UNTIL_US + 3);
    claims.claim("never-ran", digest(), UNTIL_US + 4);
    claims.neverRan("never-ran");
    claims.claim("next-window", digest(), UNTIL_US + 5);
    claims.completed("next-window", "old".getBytes(StandardCharsets.US_ASCII));
    claims.claim("next-window", new byte[] {1, 2, 3}, UNTIL_US + 4_000_005);
    second.claims().claim("of-the-second", digest(), UNTIL_US + 6);
  }

  /**
   * Reads all claims of the earlier version whose state does not depend on whether their owners are
   * alive.
   */
  private static void readClaims(IdempotencyClaims claims) {
    readClaim(claims, "served", digest(), UNTIL_US);
    readClaim(claims, "served-empty", digest(), UNTIL_US + 1);
    readClaim(claims, "failed", digest(), UNTIL_US + 2);
    readClaim(claims, "running", digest(), UNTIL_US + 3);
    readClaim(claims, "next-window", new byte[] {1, 2, 3}, UNTIL_US + 4_000_005);
    readClaim(claims, "of-the-second", digest(), UNTIL_US + 6);
    assertInstanceOf(IdempotencyClaims.Unclaimed.class, claims.status("never-ran"));
    assertArrayEquals(
        "result".getBytes(StandardCharsets.US_ASCII),
        assertInstanceOf(IdempotencyClaims.Completed.class, claims.peerRun("served")).result());
    assertArrayEquals(
        new byte[0],
        assertInstanceOf(IdempotencyClaims.Completed.class, claims.peerRun("served-empty"))
            .result());
    assertEquals(new IdempotencyClaims.NoResult(), claims.peerRun("failed"));
    assertEquals(new IdempotencyClaims.NeverRan(), claims.peerRun("never-ran"));
  }

  private static void readClaim(IdempotencyClaims claims, String key, byte[] digest, long untilUs) {
    IdempotencyClaims.OwnedByPeer ownedByPeer =
        assertInstanceOf(IdempotencyClaims.OwnedByPeer.class, claims.status(key), key);
    assertArrayEquals(digest, ownedByPeer.digest(), key);
    assertEquals(untilUs, ownedByPeer.untilUs(), key);
  }

  private static byte[] digest() {
    byte[] digest = new byte[32];
    for (int i = 0; i < digest.length; i++) {
      digest[i] = (byte) (8 * i);
    }
    return digest;
  }

  private TakeoverCoordinator process() throws IOException {
    return TakeoverCoordinator.join(Optional.ofNullable(shared), new Counters(), log);
  }

  private Path file(String name) {
    return shared.resolve("rosecleat").resolve(name);
  }

  private FileChannel lock(String name) throws IOException {
    FileChannel channel = FileChannel.open(file(name), StandardOpenOption.WRITE);
    channel.lock();
    return channel;
  }

  private void copy(String name) throws IOException {
    Files.copy(EARLIER_VERSION_FILES.resolve("files/rosecleat").resolve(name), file(name));
  }

  /** Restores the files of the earlier version, including symbolic links, in a folder. */
  private static void restore(Path target) throws IOException {
    Path files = EARLIER_VERSION_FILES.resolve("files");
    try (Stream<Path> all = Files.walk(files)) {
      for (Path each : all.filter(path -> !path.equals(files)).toList()) {
        Files.copy(each, target.resolve(files.relativize(each).toString()));
      }
    }
    for (String line : Files.readAllLines(EARLIER_VERSION_FILES.resolve("symbolic-links.txt"))) {
      String[] words = line.split(" ");
      Path link = target.resolve("rosecleat").resolve(words[0]);
      Files.createSymbolicLink(link, Path.of(words[1]));
    }
  }

  /** Returns the contents of a folder: each path with its kind and its bytes or link target. */
  private static Map<String, String> snapshot(Path folder) throws IOException {
    Map<String, String> snapshot = new TreeMap<>();
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path each : all.toList()) {
        String name = folder.relativize(each).toString();
        if (Files.isSymbolicLink(each)) {
          snapshot.put(name, "link to " + Files.readSymbolicLink(each));
        } else if (Files.isDirectory(each)) {
          snapshot.put(name, "folder");
        } else {
          snapshot.put(name, "file of " + Files.readString(each, StandardCharsets.ISO_8859_1));
        }
      }
    }
    return snapshot;
  }

  private static Set<String> names(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return Set.copyOf(files.map(file -> file.getFileName().toString()).toList());
    }
  }
}
