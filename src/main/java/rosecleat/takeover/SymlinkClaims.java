package rosecleat.takeover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;
import rosecleat.net.TextSyntax;

/**
 * Claims as files in a folder that the processes of a node share. A claim is a symbolic link whose
 * target says owner, end of the window and digest: it is created whole or not at all, by one
 * process alone, and takes no page of memory. A result is a file beside it that is there whole or
 * not at all. Both go when no try can ask for them any more.
 */
final class SymlinkClaims implements IdempotencyClaims {
  /**
   * Claims of this process at a time: files count as memory. Beyond that no keyed request is begun.
   */
  private static final int MOST_CLAIMS = 8_192;

  /**
   * Results kept at a time, some 4 KB each; where one had to go, repeats elsewhere fail rather than
   * run again.
   */
  private static final int MOST_RESULTS = 2_048;

  private static final String RESULT = ".result";
  private static final HexFormat HEX = HexFormat.of();

  private record Claim(int owner, long untilUs, byte[] digest) {}

  private record Kept(String file, long untilUs) {}

  private final Path folder;
  private final Path scratch;
  private final ProcessMarkers marks;
  private final Counters counters;
  private final Log log;
  private final Map<String, Long> mine = new HashMap<>();
  private final ArrayDeque<Kept> kept = new ArrayDeque<>();
  private final ArrayDeque<String> results = new ArrayDeque<>();
  private long lateUs = 3_000_000;
  private boolean othersLeft;

  SymlinkClaims(Path folder, ProcessMarkers marks, Counters counters, Log log) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.marks = marks;
    this.counters = counters;
    this.log = log;
    scratch = folder.resolve("scratch-" + marks.number());
    othersLeft = marks.number() > 1;
  }

  /** Claims outlast their window by so much, for tries that are read late. */
  void keepLate(long us) {
    lateUs = us;
  }

  private static String file(String key) {
    try {
      return HEX.formatHex(
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }

  /** The claim in a file, null where there is none. */
  private Claim read(String file) {
    try {
      String[] words = Files.readSymbolicLink(folder.resolve(file)).toString().split(":", -1);
      long owner = words.length == 3 ? TextSyntax.parseNumber(words[0], 9) : -1;
      return owner < 1
          ? null
          : new Claim((int) owner, TextSyntax.parseNumber(words[1], 18), HEX.parseHex(words[2]));
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }

  @Override
  public ClaimStatus status(String key) {
    return statusOf(read(file(key)));
  }

  private ClaimStatus statusOf(Claim claim) {
    return claim == null
        ? new Unclaimed()
        : claim.owner == marks.number()
            ? new Owned()
            : new OwnedByPeer(claim.digest, claim.untilUs);
  }

  @Override
  public ClaimStatus claim(String key, byte[] digest, long untilUs) {
    if (mine.size() >= MOST_CLAIMS) {
      counters.add("claims.full");
      return new Unclaimed();
    }
    String file = file(key);
    Path target = Path.of(marks.number() + ":" + untilUs + ":" + HEX.formatHex(digest));
    try {
      if (mine.containsKey(file)) { // an earlier window's, which no other process may touch
        Files.deleteIfExists(folder.resolve(file + RESULT));
        Files.createSymbolicLink(scratch, target);
        Files.move(scratch, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
      } else {
        Files.createSymbolicLink(folder.resolve(file), target);
      }
    } catch (FileAlreadyExistsException e) {
      Claim claim = read(file);
      return claim == null ? new Unclaimed() : statusOf(claim);
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("a key could not be claimed: " + e);
      return new Unclaimed();
    }
    mine.put(file, untilUs);
    kept.add(new Kept(file, untilUs));
    counters.add("claims");
    return new Owned();
  }

  @Override
  public void completed(String key, byte[] result) {
    String file = file(key);
    if (mine.containsKey(file)) {
      write(file, framed(result));
      results.add(file);
      if (results.size() > MOST_RESULTS) {
        String oldest = results.remove();
        if (mine.containsKey(oldest)) {
          write(oldest, new byte[0]);
        }
      }
    }
  }

  @Override
  public void endedWithoutResult(String key) {
    String file = file(key);
    if (mine.containsKey(file)) {
      write(file, new byte[0]);
    }
  }

  /** A result behind a sign, so that an empty result and none differ. */
  private static byte[] framed(byte[] result) {
    byte[] framed = new byte[result.length + 1];
    framed[0] = '+';
    System.arraycopy(result, 0, framed, 1, result.length);
    return framed;
  }

  private void write(String file, byte[] bytes) {
    try {
      Files.write(scratch, bytes);
      Files.move(scratch, folder.resolve(file + RESULT), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("a result could not be shared: " + e);
    }
  }

  @Override
  public void neverRan(String key) {
    String file = file(key);
    if (mine.remove(file) != null) {
      delete(file);
    }
  }

  @Override
  public PeerRun peerRun(String key) {
    String file = file(key);
    try {
      byte[] bytes = Files.readAllBytes(folder.resolve(file + RESULT));
      return bytes.length == 0
          ? new NoResult()
          : new Completed(Arrays.copyOfRange(bytes, 1, bytes.length));
    } catch (IOException e) {
      Claim claim = read(file);
      return claim == null
          ? new NeverRan()
          : marks.lives(claim.owner) || Files.exists(folder.resolve(file + RESULT))
              ? new Pending()
              : new NoResult();
    }
  }

  /**
   * Takes away what has lapsed of this process, and, where no older one lives, of those that are
   * dead.
   */
  void expire(long nowUs, boolean oldest) {
    while (!kept.isEmpty() && kept.peek().untilUs + lateUs < nowUs) {
      Kept lapsed = kept.remove();
      if (mine.remove(lapsed.file, lapsed.untilUs)) { // else it was claimed anew, or is free
        results.remove(lapsed.file);
        delete(lapsed.file);
      }
    }
    try {
      if (oldest && (othersLeft || marks.numbers().size() > 1)) {
        expireDead(nowUs);
      }
    } catch (IOException e) {
      log.warn("old claims could not be listed: " + e);
    }
  }

  /**
   * Only the oldest live process does this: two that delete could delete what a third has just
   * claimed.
   */
  private void expireDead(long nowUs) throws IOException {
    othersLeft = false;
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path each : files) {
        String file = each.getFileName().toString();
        Claim claim = file.endsWith(RESULT) || mine.containsKey(file) ? null : read(file);
        othersLeft |= claim != null;
        if (claim != null && claim.untilUs + lateUs < nowUs && !marks.lives(claim.owner)) {
          delete(file);
        }
      }
    }
  }

  private void delete(String file) {
    try {
      Files.deleteIfExists(folder.resolve(file));
      Files.deleteIfExists(folder.resolve(file + RESULT));
    } catch (IOException e) {
      log.warn("a claim could not be taken away: " + e);
    }
  }
}
