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
import java.util.Optional;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/**
 * Claims of idempotency keys as files in a folder that the processes of a node share.
 *
 * <p>A claim is a symbolic link named by the key's hash; its target states the owner, the end of
 * the window and the digest of the body ({@link ClaimTarget}). Creating a link is atomic, succeeds
 * in only one process and uses no memory page. The result of the run is a file beside the link, put
 * in place by an atomic move. Both are removed once no retry can refer to them any more.
 */
final class SymlinkClaims implements IdempotencyClaims {
  /**
   * Maximum number of claims of this process at a time, because files count towards the memory of
   * the node. Beyond it, no request with an idempotency key is started.
   */
  private static final int MAX_CLAIMS = 8_192;

  /**
   * Maximum number of results retained at a time, about 4 KB each. After a result has been dropped,
   * retries at another process fail rather than run again.
   */
  private static final int MAX_RESULTS = 2_048;

  /** Time for which claims are retained after their window, unless set otherwise (us). */
  private static final long DEFAULT_RETENTION_US = 3_000_000;

  private static final String RESULT_SUFFIX = ".result";

  /** First byte of a file with a result; it distinguishes an empty result from no result. */
  private static final byte RESULT_MARK = '+';

  private static final byte[] NO_RESULT = new byte[0];

  private static final HexFormat HEX = HexFormat.of();

  /** The expiry of a claim of this process; kept in the order in which the claims were made. */
  private record Expiry(String file, long untilUs) {}

  private final Path folder;
  private final Path temporary;
  private final ProcessMarkers markers;
  private final Counters counters;
  private final Log log;
  private final Map<String, Long> ownedUntilUs = new HashMap<>();
  private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
  private final ArrayDeque<String> resultFiles = new ArrayDeque<>();
  private long retentionUs = DEFAULT_RETENTION_US;
  private boolean peerClaimsRemain;

  SymlinkClaims(Path folder, ProcessMarkers markers, Counters counters, Log log)
      throws IOException {
    this.folder = Files.createDirectories(folder);
    this.markers = markers;
    this.counters = counters;
    this.log = log;
    temporary = folder.resolve("scratch-" + markers.ownNumber());
    peerClaimsRemain = markers.ownNumber() > 1;
  }

  /** Sets how long claims are retained after their window (us), for retries that are read late. */
  void setRetentionUs(long newRetentionUs) {
    retentionUs = newRetentionUs;
  }

  @Override
  public ClaimStatus status(String key) {
    return status(readClaim(fileName(key)));
  }

  private ClaimStatus status(Optional<ClaimTarget> claim) {
    if (claim.isEmpty()) {
      return new Unclaimed();
    }
    ClaimTarget target = claim.get();
    return target.owner() == markers.ownNumber()
        ? new Owned()
        : new OwnedByPeer(target.digest(), target.untilUs());
  }

  @Override
  public ClaimStatus claim(String key, byte[] digest, long untilUs) {
    if (ownedUntilUs.size() >= MAX_CLAIMS) {
      counters.add("claims.full");
      return new Unclaimed();
    }
    String file = fileName(key);
    try {
      createLink(file, new ClaimTarget(markers.ownNumber(), untilUs, digest).toPath());
    } catch (FileAlreadyExistsException e) {
      return status(readClaim(file));
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("could not claim an idempotency key: " + e);
      return new Unclaimed();
    }
    ownedUntilUs.put(file, untilUs);
    expiries.add(new Expiry(file, untilUs));
    counters.add("claims");
    return new Owned();
  }

  private void createLink(String file, Path target) throws IOException {
    if (!ownedUntilUs.containsKey(file)) {
      Files.createSymbolicLink(folder.resolve(file), target);
      return;
    }
    // this process owns the key from an earlier window: the link is replaced atomically, so that no
    // peer can claim the key in between
    Files.deleteIfExists(resultFile(file));
    Files.createSymbolicLink(temporary, target);
    Files.move(temporary, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void completed(String key, byte[] result) {
    String file = fileName(key);
    if (!ownedUntilUs.containsKey(file)) {
      return;
    }
    writeResult(file, marked(result));
    resultFiles.add(file);
    if (resultFiles.size() > MAX_RESULTS) {
      dropOldestResult();
    }
  }

  @Override
  public void endedWithoutResult(String key) {
    String file = fileName(key);
    if (ownedUntilUs.containsKey(file)) {
      writeResult(file, NO_RESULT);
    }
  }

  private void dropOldestResult() {
    String oldest = resultFiles.remove();
    if (ownedUntilUs.containsKey(oldest)) {
      writeResult(oldest, NO_RESULT);
    }
  }

  private static byte[] marked(byte[] result) {
    byte[] marked = new byte[result.length + 1];
    marked[0] = RESULT_MARK;
    System.arraycopy(result, 0, marked, 1, result.length);
    return marked;
  }

  private void writeResult(String file, byte[] bytes) {
    try {
      Files.write(temporary, bytes);
      Files.move(temporary, resultFile(file), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("could not write the result of a claimed key: " + e);
    }
  }

  @Override
  public void neverRan(String key) {
    String file = fileName(key);
    if (ownedUntilUs.remove(file) != null) {
      delete(file);
    }
  }

  @Override
  public PeerRun peerRun(String key) {
    String file = fileName(key);
    try {
      byte[] bytes = Files.readAllBytes(resultFile(file));
      return bytes.length == 0
          ? new NoResult()
          : new Completed(Arrays.copyOfRange(bytes, 1, bytes.length));
    } catch (IOException e) {
      return peerRunWithoutResult(file);
    }
  }

  /**
   * Returns the state of a run whose result file did not exist. The owner may write its result and
   * end while this method runs, so its lock is probed before the result file.
   */
  private PeerRun peerRunWithoutResult(String file) {
    Optional<ClaimTarget> claim = readClaim(file);
    if (claim.isEmpty()) {
      return new NeverRan();
    }
    boolean mayStillArrive = markers.isAlive(claim.get().owner()) || Files.exists(resultFile(file));
    return mayStillArrive ? new Pending() : new NoResult();
  }

  /**
   * Removes the expired claims of this process and, if no predecessor is alive, those of dead
   * processes.
   */
  void expire(long nowUs, boolean isOldest) {
    while (!expiries.isEmpty() && hasExpired(expiries.peek().untilUs, nowUs)) {
      Expiry expired = expiries.remove();
      // if the values differ, the key was claimed again for a later window or released
      if (ownedUntilUs.remove(expired.file, expired.untilUs)) {
        resultFiles.remove(expired.file);
        delete(expired.file);
      }
    }
    try {
      if (isOldest && (peerClaimsRemain || markers.processNumbers().size() > 1)) {
        expireClaimsOfDeadProcesses(nowUs);
      }
    } catch (IOException e) {
      log.warn("could not list claims of dead processes: " + e);
    }
  }

  /**
   * Removes the expired claims of dead processes. Only the oldest live process does this: with two
   * processes doing it, one could delete a claim that a third process has made after the other had
   * deleted its expired predecessor.
   */
  private void expireClaimsOfDeadProcesses(long nowUs) throws IOException {
    peerClaimsRemain = false;
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path path : files) {
        String file = path.getFileName().toString();
        if (file.endsWith(RESULT_SUFFIX) || ownedUntilUs.containsKey(file)) {
          continue;
        }
        Optional<ClaimTarget> claim = readClaim(file);
        peerClaimsRemain |= claim.isPresent();
        if (claim.isPresent()
            && hasExpired(claim.get().untilUs(), nowUs)
            && !markers.isAlive(claim.get().owner())) {
          delete(file);
        }
      }
    }
  }

  private boolean hasExpired(long untilUs, long nowUs) {
    return untilUs + retentionUs < nowUs;
  }

  private void delete(String file) {
    try {
      Files.deleteIfExists(folder.resolve(file));
      Files.deleteIfExists(resultFile(file));
    } catch (IOException e) {
      log.warn("could not delete a claim: " + e);
    }
  }

  private Optional<ClaimTarget> readClaim(String file) {
    try {
      return ClaimTarget.parse(Files.readSymbolicLink(folder.resolve(file)));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private Path resultFile(String file) {
    return folder.resolve(file + RESULT_SUFFIX);
  }

  private static String fileName(String key) {
    try {
      return HEX.formatHex(
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform provides SHA-256
    }
  }
}
