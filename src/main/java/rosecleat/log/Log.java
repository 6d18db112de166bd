package rosecleat.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A logger that never blocks its callers: lines go through a bounded queue to one writer thread,
 * and lines that find the queue full are dropped and counted. Every method may be called from any
 * thread.
 */
public final class Log implements AutoCloseable {
  /** Lines that wait for the writer; at the longest line this bounds the queue's memory. */
  private static final int QUEUE_CAPACITY = 1024;

  /** Characters of a line; longer ones are cut, since callers may send text of any length. */
  public static final int MAX_LINE_CHARS = 400;

  /** How long {@link #close()} waits for the writer. */
  private static final long CLOSE_TIMEOUT_MS = 200;

  /** The writer's pause behind each line: a flood of lines is dropped here rather than written. */
  private static final long WRITE_INTERVAL_MS = 2;

  /** How often a writer without lines looks whether the log was closed. */
  private static final long POLL_INTERVAL_MS = 50;

  private static final char DELETE = 127;

  private final ArrayBlockingQueue<String> lines;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;

  /** The thread that writes; null for a silent log. */
  private final Thread writer;

  private volatile boolean closed;

  /** Creates a log that writes to a stream, and starts its thread. */
  public Log(PrintStream out) {
    this(out, QUEUE_CAPACITY);
  }

  /** Returns a log that discards every line and has no thread. */
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

  /** Logs a failure that the program has handled. */
  public void warn(String line) {
    enqueue("warn", line);
  }

  /** The number of lines dropped so far because the queue was full. */
  public long dropped() {
    return dropped.get();
  }

  private void enqueue(String level, String line) {
    if (writer == null) {
      return;
    }
    String shortened =
        line.length() > MAX_LINE_CHARS ? line.substring(0, MAX_LINE_CHARS) + "..." : line;
    if (!lines.offer(Instant.now() + " " + level + " " + withoutControlCharacters(shortened))) {
      dropped.incrementAndGet();
    }
  }

  /** Replaces control characters, so that text from callers cannot forge a line of its own. */
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
        out.println(Instant.now() + " warn " + dropped.get() + " lines were dropped");
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

  /** Writes the lines that still wait, for 200 ms at most. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MS);
  }

  /** Writes the lines that still wait, for at most the timeout in milliseconds. */
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
