package rosecleat.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small logger that never blocks its callers: lines wait in a bounded queue for one writer
 * thread, and those that find it full are dropped and counted.
 */
public final class Log implements AutoCloseable {
  private static final int WAITING = 1024;
  private static final int WIDEST = 400;
  private static final long LAST_MS = 200;

  /** A pause behind each line: what floods the log is dropped here, not written. */
  private static final long PACE_MS = 2;

  private final ArrayBlockingQueue<String> lines;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer;
  private volatile boolean closed;

  /** A logger that writes to a stream. */
  public Log(PrintStream out) {
    this(out, WAITING);
  }

  /** A logger that keeps nothing, and has no thread. */
  public static Log silent() {
    return new Log();
  }

  private Log() {
    out = null;
    lines = null;
    writer = null;
  }

  Log(PrintStream out, int waiting) {
    this.out = out;
    lines = new ArrayBlockingQueue<>(waiting);
    writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Something worth knowing. */
  public void info(String line) {
    add("info", line);
  }

  /** Something that went wrong and was dealt with. */
  public void warn(String line) {
    add("warn", line);
  }

  /** Lines that found no room so far. */
  public long dropped() {
    return dropped.get();
  }

  private void add(String level, String line) {
    if (writer == null) {
      return;
    }
    String cut = line.length() > WIDEST ? line.substring(0, WIDEST) + "..." : line;
    if (!lines.offer(Instant.now() + " " + level + " " + clean(cut))) {
      dropped.incrementAndGet();
    }
  }

  /** Keeps what callers sent from forging lines of its own. */
  private static String clean(String text) {
    StringBuilder safe = new StringBuilder(text.length());
    text.chars().forEach(c -> safe.append(c < ' ' || c == 127 ? '?' : (char) c));
    return safe.toString();
  }

  private void write() {
    try {
      while (!closed || !lines.isEmpty()) {
        String line = lines.poll(50, TimeUnit.MILLISECONDS);
        if (line != null) {
          out.println(line);
          if (!closed) {
            Thread.sleep(PACE_MS);
          }
        }
      }
      if (dropped.get() > 0) {
        out.println(Instant.now() + " warn " + dropped.get() + " lines were dropped");
      }
      out.flush();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what still waits, for a fifth of a second at most. */
  @Override
  public void close() {
    close(LAST_MS);
  }

  /** Writes what still waits, for so long at the most (ms). */
  public void close(long mostMs) {
    closed = true;
    if (writer == null) {
      return;
    }
    try {
      writer.join(mostMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
