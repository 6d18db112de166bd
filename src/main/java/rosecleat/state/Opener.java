package rosecleat.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import rosecleat.log.Log;
import rosecleat.store.Finding;
import rosecleat.store.Folder;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/**
 * Opens a node's folder on a thread of its own, from before the node stands. Where another process
 * writes to it, it is read beside that and opened once it is free; where it can't be used, that is
 * tried again.
 */
public final class Opener {
  private static final int WAITING = 64;
  private static final long WAITING_BYTES = 4 << 20;
  private static final long LOCKED_MS = 100;
  private static final long FAILED_MS = 5_000;

  /**
   * A look at a folder in which another process writes is tried so often, as files may go under it.
   */
  private static final int LOOKS = 3;

  private static final FactOwner OWNER = new FactOwner();

  private final Path path;
  private final long maxBytes;
  private final Log log;
  private final Thread thread;
  private volatile Store store;
  private volatile boolean ended;
  private Recovered found;
  private Consumer<Recovered> taker;

  /** Begins to open a folder whose files may take so many bytes. */
  public Opener(Path path, long maxBytes, Log log) {
    this.path = path;
    this.maxBytes = maxBytes;
    this.log = log;
    thread = new Thread(this::open, "state");
    thread.setDaemon(true);
    thread.start();
  }

  /** The store, once it is open; null until then. */
  Store store() {
    return store;
  }

  /** Names who hears what is found, each time it is read; what was found before is told at once. */
  synchronized void tell(Consumer<Recovered> to) {
    taker = to;
    if (found != null) {
      to.accept(found);
    }
  }

  private synchronized void found(Recovered fresh) {
    found = fresh;
    if (taker != null) {
      taker.accept(fresh);
    }
  }

  private void open() {
    String said = "";
    try {
      while (!ended) {
        Store.Opening opening = attempt();
        String what = "";
        long pauseMs = FAILED_MS;
        if (opening instanceof Store.Opened opened) {
          opened(opened);
          return;
        } else if (opening instanceof Store.Refused refused) {
          log.warn(
              "state: nothing is kept: "
                  + refused.why()
                  + "; start the program that wrote it, or name another folder");
          return;
        } else if (opening instanceof Store.Locked) {
          what =
              "another process writes to "
                  + path
                  + ": this one reads it, and writes once that has left";
          pauseMs = LOCKED_MS;
          peek();
        } else if (opening instanceof Store.Failed failed) {
          what = path + " can't be used, and is tried again: " + failed.why();
        }
        if (!what.equals(said)) {
          log.warn("state: " + what);
          said = what;
        }
        Thread.sleep(pauseMs);
      }
    } catch (InterruptedException e) {
      return; // the node ends
    }
  }

  private Store.Opening attempt() {
    try {
      return Store.open(
          Folder.made(path),
          OWNER,
          new Store.Limits(maxBytes, WAITING, WAITING_BYTES),
          line -> log.warn("state: " + line));
    } catch (IOException e) {
      return new Store.Failed(String.valueOf(e));
    }
  }

  private void peek() throws InterruptedException {
    for (int i = 0; i < LOOKS; i++) {
      try {
        found(Store.look(Folder.of(path), OWNER));
        return;
      } catch (IOException e) {
        Thread.sleep(1);
      }
    }
  }

  private void opened(Store.Opened opened) {
    for (Finding finding : opened.found().findings()) {
      log.warn("state: " + finding);
    }
    store = opened.store();
    if (ended) {
      store.end();
    }
    found(opened.found());
  }

  /** Opens nothing any more, and ends the store that is open; does not wait for that. */
  void end() {
    ended = true;
    thread.interrupt();
    Store open = store;
    if (open != null) {
      open.end();
    }
  }

  /** Ends, and waits so long at the most (ms) until the folder is free. */
  boolean close(long mostMs) {
    end();
    Store open = store;
    return open == null || open.close(mostMs);
  }
}
