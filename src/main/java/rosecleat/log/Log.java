package rosecleat.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A logger that never blocks its callers. Lines pass through a bounded queue to one writer thread;
 * when the queue is full, further lines are dropped and counted. Thread-safe.
 */
public final class Log implements AutoCloseable {
  /** Most lines in the queue; with the longest line this bounds the queue's memory. */
  private static final int QUEUE_CAPACITY = 1024;

  /**
   * Most characters of a line. Longer lines are truncated, since a line may contain text of any
   * length that a client or a service has sent.
   */
  public static final int MAX_LINE_CHARS = 400;

  /** Time for which {@link #close()} waits for the writer thread. */
  private static final long CLOSE_TIMEOUT_MS = 200;

  /**
   * Pause of the writer after each line, so that most lines of a flood are dropped, not written.
   */
  private static final long WRITE_INTERVAL_MS = 2;

  /** Interval at which the writer checks for the end of the log while the queue is empty. */
  private static final long POLL_INTERVAL_MS = 50;

  private static final char DELETE = 127;

  private final ArrayBlockingQueue<String> lines;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;

  /** The writer thread; null for a silent log. */
  private final Thread writer;

  private volatile boolean closed;

  /** Creates a log that writes to a stream, and starts its writer thread. */
  public Log(PrintStream out) {
    this(out, QUEUE_CAPACITY);
  }

  /** Returns a log that discards all lines and has no writer thread. */
  public static Log silent() {
    return new Log();
  }

  private Log() {
    out = null;
    lines = null;
    writer = null;
  }

  Log(PrintStream out, int queueCapacity) {
    this.out = out;
    lines = new ArrayBlockingQueue<>(queueCapacity);
    writer = new Thread(this::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Logs an ordinary event. */
  public void info(String line) {
    enqueue("info", line);
  }

  /**
   * Logs a failure that the program has handled, for example by continuing without the failed
   * operation.
   */
  public void warn(String line) {
    enqueue("warn", line);
  }

  /** Returns the number of lines dropped so far because the queue was full. */
  public long dropped() {
    return dropped.get();
  }

  private void enqueue(String level, String line) {
    if (writer == null) {
      return;
    }
    if (lines.remainingCapacity() == 0) { // most of a flood's lines need not be formatted
      dropped.incrementAndGet();
      return;
    }
    String shortened =
        line.length() > MAX_LINE_CHARS ? line.substring(0, MAX_LINE_CHARS) + "..." : line;
    if (!lines.offer(Instant.now() + " " + level + " " + withoutControlCharacters(shortened))) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Replaces control characters, so that text from clients and services cannot forge a separate log
   * line.
   */
  private static String withoutControlCharacters(String text) {
    StringBuilder safe = new StringBuilder(text.length());
    text.chars().forEach(c -> safe.append(c < ' ' || c == DELETE ? '?' : (char) c));
    return safe.toString();
  }

  private void writeLines() {
    try {
      while (!closed || !lines.isEmpty()) {
        writeNextLine();
      }
      if (dropped.get() > 0) {
        out.println(
            Instant.now() + " warn " + dropped.get() + " log lines dropped: queue was full");
      }
      out.flush();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeNextLine() throws InterruptedException {
    String line = lines.poll(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    if (line == null) {
      return;
    }
    out.println(line);
    if (!closed) {
      Thread.sleep(WRITE_INTERVAL_MS);
    }
  }

  /** Closes the log after writing the queued lines, for which it waits at most 200 ms. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MS);
  }

  /**
   * Closes the log after writing the queued lines, for which it waits at most {@code timeoutMs}.
   */
  public void close(long timeoutMs) {
    closed = true;
    if (writer == null) {
      return;
    }
    try {
      writer.join(timeoutMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
