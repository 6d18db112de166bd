package rosecleat.takeover;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/**
 * Claims of idempotency keys as files in a folder that the processes of a node share.
 *
 * <p>A claim is a symbolic link named by the key's hash; its target states the owner, the end of
 * the window and the digest of the content ({@link ClaimTarget}). Creating a link is atomic,
 * succeeds in only one process and uses no memory page. The result of the run is a file beside the
 * link. Both are removed once no retry can refer to them any more, together with the claim's
 * aliases.
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

  /** First byte of a file with a result; it distinguishes an empty result from no result. */
  private static final byte RESULT_MARK = '+';

  private static final byte[] NO_RESULT = new byte[0];

  /** The expiry of a claim of this process; kept in the order in which the claims were made. */
  private record Expiry(String file, long untilUs) {}

  private final ClaimFiles files;
  private final ProcessMarkers markers;
  private final Counters counters;
  private final Log log;
  private final Map<String, Long> ownedUntilUs = new HashMap<>();
  private final Map<String, List<String>> aliasesByFile = new HashMap<>();
  private final Map<String, String> fileByAlias = new HashMap<>();
  private final ArrayDeque<Expiry> expiries = new ArrayDeque<>();
  private final ArrayDeque<String> resultFiles = new ArrayDeque<>();
  private long retentionUs = DEFAULT_RETENTION_US;
  private long maxWindowUs;
  private boolean peerClaimsRemain;
  private boolean peersSeen;

  SymlinkClaims(Path folder, ProcessMarkers markers, Counters counters, Log log)
      throws IOException {
    files = new ClaimFiles(folder, markers.ownNumber());
    this.markers = markers;
    this.counters = counters;
    this.log = log;
    peerClaimsRemain = markers.ownNumber() > 1;
  }

  /** Sets how long claims are retained after their window (us), for retries that are read late. */
  void setRetentionUs(long newRetentionUs) {
    retentionUs = newRetentionUs;
  }

  /**
   * Sets how much longer the claims of dead processes are retained (us). While a claim exists, no
   * request is run under its key.
   */
  void setMaxWindowUs(long newMaxWindowUs) {
    maxWindowUs = newMaxWindowUs;
  }

  @Override
  public ClaimStatus status(String key) {
    return status(files.read(ClaimFiles.fileName(key)));
  }

  @Override
  public boolean peersMayHaveClaims() {
    return peerClaimsRemain || peersSeen;
  }

  private ClaimStatus status(Optional<ClaimTarget> claim) {
    if (claim.isEmpty()) {
      return new Unclaimed();
    }
    ClaimTarget target = claim.get();
    return target.owner() == markers.ownNumber()
        ? new Owned()
        : new OwnedByPeer(target.digest(), target.untilUs(), target.alias());
  }

  @Override
  public ClaimStatus claim(String key, byte[] digest, long untilUs) {
    if (ownedUntilUs.size() >= MAX_CLAIMS) {
      counters.add("claims.full");
      return new Unclaimed();
    }
    String file = ClaimFiles.fileName(key);
    try {
      createClaim(file, new ClaimTarget(markers.ownNumber(), untilUs, digest, false));
    } catch (FileAlreadyExistsException e) {
      return status(files.read(file));
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

  private void createClaim(String file, ClaimTarget target) throws IOException {
    String formerClaim = fileByAlias.remove(file);
    if (formerClaim != null) { // an alias that this process made in an earlier window
      aliasesByFile.get(formerClaim).remove(file);
    }
    if (formerClaim != null || ownedUntilUs.containsKey(file)) {
      files.replace(file, target);
    } else {
      files.create(file, target);
    }
  }

  @Override
  public void addAlias(String key, String alias, byte[] digest) {
    String file = ClaimFiles.fileName(key);
    String aliasFile = ClaimFiles.fileName(alias);
    if (!ownedUntilUs.containsKey(file) || ownedUntilUs.containsKey(aliasFile)) {
      return;
    }
    ClaimTarget target = new ClaimTarget(markers.ownNumber(), ownedUntilUs.get(file), digest, true);
    try {
      if (file.equals(fileByAlias.get(aliasFile))) { // made in an earlier window of the key
        files.replace(aliasFile, target);
      } else {
        files.create(aliasFile, target);
        fileByAlias.put(aliasFile, file);
        aliasesByFile.computeIfAbsent(file, absent -> new ArrayList<>(1)).add(aliasFile);
      }
      files.linkResult(aliasFile, file);
    } catch (FileAlreadyExistsException e) {
      counters.add("claims.aliastaken");
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("could not make the alias of a claimed idempotency key: " + e);
    }
  }

  @Override
  public void completed(String key, byte[] result) {
    String file = ClaimFiles.fileName(key);
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
    String file = ClaimFiles.fileName(key);
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
      files.writeResult(file, bytes);
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("could not write the result of a claimed key: " + e);
    }
  }

  @Override
  public void neverRan(String key) {
    String file = ClaimFiles.fileName(key);
    if (ownedUntilUs.remove(file) != null) {
      delete(file);
    }
  }

  @Override
  public PeerRun peerRun(String key) {
    String file = ClaimFiles.fileName(key);
    try {
      byte[] bytes = files.readResult(file);
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
    Optional<ClaimTarget> claim = files.read(file);
    if (claim.isEmpty()) {
      return new NeverRan();
    }
    boolean mayStillArrive = markers.isAlive(claim.get().owner()) || files.hasResult(file);
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
      peersSeen = markers.processNumbers().size() > 1;
      if (isOldest && (peerClaimsRemain || peersSeen)) {
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
    for (String file : files.links()) {
      if (ownedUntilUs.containsKey(file) || fileByAlias.containsKey(file)) {
        continue;
      }
      Optional<ClaimTarget> claim = files.read(file);
      peerClaimsRemain |= claim.isPresent();
      if (claim.isPresent()
          && hasExpired(claim.get().untilUs() + maxWindowUs, nowUs)
          && !markers.isAlive(claim.get().owner())) {
        delete(file);
      }
    }
  }

  private boolean hasExpired(long untilUs, long nowUs) {
    return untilUs + retentionUs < nowUs;
  }

  /** Deletes a claim with its aliases. */
  private void delete(String file) {
    List<String> aliases = aliasesByFile.getOrDefault(file, List.of());
    aliasesByFile.remove(file);
    try {
      files.delete(file);
      for (String alias : aliases) {
        fileByAlias.remove(alias);
        files.delete(alias);
      }
    } catch (IOException e) {
      log.warn("could not delete a claim: " + e);
    }
  }
}
