package rosecleat.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import rosecleat.log.Log;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryIssue;
import rosecleat.store.RecoveryReport;

/**
 * Opens the store of a node on a thread of its own, so that the start of the node does not wait for
 * the disk. While another process writes to the folder, the opener only reads it, and opens it once
 * it is unlocked. Opening is retried if it fails, unless a newer version of the program wrote the
 * folder. Thread-safe.
 */
public final class StateStoreOpener {
  private static final int MAX_QUEUED_APPENDS = 64;
  private static final long MAX_QUEUED_BYTES = 4 << 20;

  /**
   * Delay before opening a locked folder is retried; it is short because a takeover from an older
   * process takes little time.
   */
  private static final long LOCKED_RETRY_MS = 100;

  /** Delay before opening a folder is retried after an error. */
  private static final long FAILED_RETRY_MS = 5_000;

  /**
   * Maximum number of attempts to read a folder; an attempt fails if another process deletes files
   * meanwhile.
   */
  private static final int MAX_INSPECT_ATTEMPTS = 3;

  private static final long INSPECT_RETRY_MS = 1;
  private static final FactStateFactory FACTORY = new FactStateFactory();

  private final Path path;
  private final long maxBytes;
  private final Log log;
  private final Thread thread;
  private volatile RecordStore store; // null until the store is open
  private volatile boolean closing;
  private RecoveryReport lastReport; // null until the folder was read; guarded by this
  private Consumer<RecoveryReport> listener; // null until one is set; guarded by this

  /**
   * Starts to open a folder in the background.
   *
   * @param maxBytes limit on the total size of the folder's files
   */
  public StateStoreOpener(Path path, long maxBytes, Log log) {
    this.path = path;
    this.maxBytes = maxBytes;
    this.log = log;
    thread = new Thread(this::run, "state");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the store, or empty until it is open. */
  Optional<RecordStore> store() {
    return Optional.ofNullable(store);
  }

  /**
   * Sets the listener for recovery reports and passes the last report, if any, to it at once. The
   * listener is called on the opener's thread or on the caller's.
   */
  synchronized void onRecovered(Consumer<RecoveryReport> newListener) {
    listener = newListener;
    if (lastReport != null) {
      newListener.accept(lastReport);
    }
  }

  private synchronized void publish(RecoveryReport report) {
    lastReport = report;
    if (listener != null) {
      listener.accept(report);
    }
  }

  private void run() {
    String lastWarning = "";
    try {
      while (!closing) {
        OpenResult result = tryOpen();
        if (result instanceof OpenResult.Opened opened) {
          use(opened);
          return;
        }
        if (result instanceof OpenResult.Incompatible incompatible) {
          warnIncompatible(incompatible);
          return;
        }
        boolean locked = result instanceof OpenResult.Locked;
        if (locked) {
          inspect();
        }
        String warning = warningFor(result);
        if (!warning.equals(lastWarning)) {
          log.warn("state: " + warning);
          lastWarning = warning;
        }
        Thread.sleep(locked ? LOCKED_RETRY_MS : FAILED_RETRY_MS);
      }
    } catch (InterruptedException e) {
      return; // the node is shutting down
    }
  }

  private OpenResult tryOpen() {
    try {
      return RecordStore.open(
          FileSystemDirectory.openOrCreate(path),
          FACTORY,
          new RecordStore.Limits(maxBytes, MAX_QUEUED_APPENDS, MAX_QUEUED_BYTES),
          line -> log.warn("state: " + line));
    } catch (IOException e) {
      return new OpenResult.Failed(e);
    }
  }

  private void warnIncompatible(OpenResult.Incompatible incompatible) {
    log.warn(
        "state: folder "
            + path
            + " not opened, nothing is stored: "
            + incompatible.format().message()
            + "; start the version that wrote it or configure another folder");
  }

  private String warningFor(OpenResult result) {
    if (result instanceof OpenResult.Failed failed) {
      return "folder " + path + " could not be opened, will be retried: " + failed.cause();
    }
    return "folder "
        + path
        + " is locked by another process, this process only reads it until it is unlocked";
  }

  private void inspect() throws InterruptedException {
    for (int attempt = 0; attempt < MAX_INSPECT_ATTEMPTS; attempt++) {
      try {
        publish(RecordStore.inspect(FileSystemDirectory.openExisting(path), FACTORY));
        return;
      } catch (IOException e) {
        Thread.sleep(INSPECT_RETRY_MS);
      }
    }
  }

  private void use(OpenResult.Opened opened) {
    for (RecoveryIssue issue : opened.recovered().issues()) {
      log.warn("state: " + issue);
    }
    store = opened.store();
    if (closing) {
      store.beginClose();
    }
    publish(opened.recovered());
  }

  /** Stops opening, and starts to close the store if it is open; does not wait. */
  void beginClose() {
    closing = true;
    thread.interrupt();
    store().ifPresent(RecordStore::beginClose);
  }

  /**
   * Closes the store and waits until its folder is unlocked.
   *
   * @param timeoutMs maximum time to wait (ms)
   * @return whether the folder is unlocked
   */
  boolean close(long timeoutMs) {
    beginClose();
    return store().map(open -> open.close(timeoutMs)).orElse(true);
  }
}
