package rosecleat.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/**
 * The other processes of this node, as far as this one can see them in the folder they share.
 * Without a folder there are none. What it says was true at the last {@link #look}; for the loop,
 * but for {@link #successorLives}.
 */
public final class TakeoverCoordinator implements AutoCloseable {
  private static final long EXPIRE_US = 1_000_000;

  private final Log log;
  private final Path drained;
  private final ProcessMarkers marks;
  private final SymlinkClaims claims;
  private final PeerLoadReports loads;
  private boolean aside;
  private boolean predecessor;
  private boolean successor;
  private boolean successorServes;
  private long nextExpiryUs;
  private long lookedUs;

  /** Sees the processes that share a folder; null for none. */
  public TakeoverCoordinator(Path shared, Counters counters, Log log) throws IOException {
    this.log = log;
    if (shared == null) {
      drained = null;
      marks = null;
      claims = null;
      loads = null;
      return;
    }
    Path folder = Files.createDirectories(shared.resolve("rosecleat"));
    drained = folder.resolve("drained");
    marks = new ProcessMarkers(folder);
    claims = new SymlinkClaims(folder.resolve("keys"), marks, counters, log);
    loads = new PeerLoadReports(folder, marks.number());
    look(0);
    if (predecessor) {
      log.info(
          "this is process " + marks.number() + " of its node, and takes over from an older one");
    }
  }

  /** Looks at the others anew, and takes away what is left of dead ones. */
  public void look(long nowUs) {
    if (marks == null) {
      return;
    }
    lookedUs = nowUs;
    try {
      boolean older = false;
      boolean newer = false;
      boolean newerServes = false;
      for (int number : marks.numbers()) {
        if (number == marks.number() || !marks.lives(number)) {
          continue;
        }
        loads.look(number, nowUs);
        older |= number < marks.number();
        newer |= number > marks.number();
        newerServes |= number > marks.number() && marks.serves(number);
      }
      predecessor = older;
      successor = newer;
      successorServes = newerServes;
      aside = Files.exists(drained);
      if (nowUs >= nextExpiryUs && nowUs > 0) {
        nextExpiryUs = nowUs + EXPIRE_US;
        claims.expire(nowUs, !older);
        if (!older) {
          forgetDead();
        }
      }
    } catch (IOException e) {
      log.warn("the other processes of this node can't be seen: " + e);
    }
  }

  private void forgetDead() throws IOException {
    for (int number : marks.numbers()) {
      if (number < marks.number()) {
        marks.remove(number);
        loads.remove(number);
      }
    }
  }

  /**
   * What this process may take of the node's limits, as of the last look; the others are told.
   *
   * @param whole the limits of the node
   * @param taken what this process takes
   * @param calls what it takes of the calls below, now and after each further second without more
   */
  public ResourceAmounts grant(
      ResourceAmounts whole, ResourceAmounts taken, List<Double> calls, boolean leaving) {
    if (loads == null) {
      return whole;
    }
    ResourceAmounts grant = loads.grant(whole, taken, successor, leaving, lookedUs);
    if (shared()) {
      try {
        loads.tell(calls);
      } catch (IOException e) {
        log.warn("other processes can't be told what this one takes: " + e);
      }
    }
    return grant;
  }

  /** Whether another process lives. */
  public boolean shared() {
    return predecessor || successor;
  }

  /** Whether an older process lives. */
  public boolean predecessorLives() {
    return predecessor;
  }

  /** Whether a newer process lives, looked up now; for any thread. */
  public boolean successorLives() {
    if (marks == null) {
      return false;
    }
    try {
      return marks.numbers().stream()
          .anyMatch(number -> number > marks.number() && marks.lives(number));
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether a newer process lives and takes clients. */
  public boolean successorServes() {
    return successor && successorServes;
  }

  /** Says that this process takes clients. */
  public void serve() {
    if (marks != null) {
      try {
        marks.serve();
      } catch (IOException e) {
        log.warn("the older process can't be told that this one serves: " + e);
      }
    }
  }

  /** Whether operators sent the clients of this node away, by whichever process they told. */
  public boolean drained() {
    return aside;
  }

  /** Operators send the clients of this node away, or take them again. */
  public void drain(boolean away) {
    aside = away;
    if (drained != null) {
      try {
        if (away) {
          Files.write(drained, new byte[0]);
        } else {
          Files.deleteIfExists(drained);
        }
      } catch (IOException e) {
        log.warn("other processes can't be told what operators said: " + e);
      }
    }
  }

  /** Keys are kept so much longer than their windows, for tries that are read late. */
  public void keepLate(long us) {
    if (claims != null) {
      claims.keepLate(us);
    }
  }

  /** The keys that this process and others run. */
  public IdempotencyClaims claims() {
    return claims == null ? IdempotencyClaims.SINGLE_PROCESS : claims;
  }

  @Override
  public void close() {
    if (marks != null) {
      try {
        marks.close();
      } catch (IOException e) {
        log.warn("the mark of this process could not be closed: " + e);
      }
    }
  }
}
