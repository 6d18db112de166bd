package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import rosecleat.store.Recovered.Log;
import rosecleat.store.wire.Manifest;
import rosecleat.store.wire.SnapshotEnd;

/**
 * The writing side of a store, without threads. What {@link #write} has returned from is on disk.
 * After a failed write the log is given up and the next write begins another: a file in which a
 * write or a sync has failed is never trusted again.
 */
final class Engine implements AutoCloseable {
  /** Files set aside that are kept for people; together no more than a part of the whole. */
  private static final int MOST_ASIDE = 4;

  private static final int ASIDE_PART = 4;

  /** Logs are as long as this part of the whole, and compacted when they make up such a part. */
  private static final int LOG_PART = 16;

  private static final int LOGS_PART = 4;
  private static final long SHORTEST_LOG = 1 << 16;
  private static final int MOST_LOGS = 32;
  private static final int CHUNK = 1 << 20;

  private final Disk disk;
  private final Owner owner;
  private final long mostBytes;
  private final List<Log> sealed = new ArrayList<>();
  private Disk.Out log; // null after a failure, until the next write
  private long number;
  private long good;
  private long highest;
  private long snapshot;
  private long olderSnapshot;
  private long snapshotBytes;
  private long olderBytes;
  private long asideBytes;
  private long
      strayBytes; // snapshots of compactions that failed: the manifest on disk may name one
  private ByteBuffer buffer = ByteBuffer.allocate(1 << 16);

  /** Goes on from what a recovery found. The caller holds the folder's lock. */
  Engine(Disk disk, Owner owner, long mostBytes, Recovered found) throws IOException {
    this.disk = disk;
    this.owner = owner;
    this.mostBytes = mostBytes;
    Recovered.Plan plan = found.plan();
    for (String name : plan.leftovers()) {
      disk.delete(name);
    }
    setAside(plan.aside());
    highest = plan.highest();
    snapshot = plan.snapshot();
    olderSnapshot = plan.olderSnapshot();
    snapshotBytes = snapshot > 0 ? size(Names.snapshot(snapshot)) : 0;
    if (olderSnapshot > 0 && disk.names().contains(Names.snapshot(olderSnapshot))) {
      olderBytes = size(Names.snapshot(olderSnapshot));
    } else {
      olderSnapshot = 0;
    }
    sealed.addAll(plan.logs());
    if (plan.fresh()) {
      manifest(0, 0);
    }
    if (plan.rebase()) {
      rebase(found.fold());
    } else if (!sealed.isEmpty()) {
      Log last = sealed.remove(sealed.size() - 1); // begun anew behind
      number = last.number();
      good = last.good();
    } else {
      number = snapshot;
    }
    begin();
  }

  private long size(String name) throws IOException {
    try (Disk.In in = disk.open(name)) {
      return in.size();
    }
  }

  private void setAside(List<String> names) throws IOException {
    List<String> there = new ArrayList<>(Names.asides(disk.names()));
    long k = there.isEmpty() ? 0 : Names.asideNumber(there.get(there.size() - 1));
    for (int i = names.size() - 1;
        i >= 0;
        i--) { // the first is what is damaged, others only follow it: it is kept longest
      String to = Names.aside(++k, names.get(i));
      disk.rename(names.get(i), to);
      there.add(to);
    }
    asideBytes = 0;
    for (int i = there.size() - 1; i >= 0; i--) {
      long bytes = size(there.get(i));
      if (there.size() - i > MOST_ASIDE || asideBytes + bytes > mostBytes / ASIDE_PART) {
        disk.delete(there.get(i));
      } else {
        asideBytes += bytes;
      }
    }
    if (!names.isEmpty()) {
      disk.syncFolder();
    }
  }

  /** Writes what counts as a snapshot that stands for all there was. */
  private void rebase(Fold fold) throws IOException {
    highest++;
    long bytes = writeSnapshot(highest, fold);
    List<Log> old = List.copyOf(sealed);
    long oldSnapshot = snapshot;
    manifest(highest, snapshot);
    installed(highest, bytes, old, oldSnapshot);
    number = highest;
    good = 0;
  }

  private void begin() throws IOException {
    long next = highest + 1;
    Disk.Out fresh = disk.create(Names.log(next));
    try {
      fresh.write(
          new Format.Header('L', Format.VERSION, next, number, number == snapshot ? 0 : good)
              .bytes());
      fresh.sync();
      disk.syncFolder();
    } catch (IOException e) {
      closeQuietly(fresh);
      throw e; // the number is used again: nothing in that file was acknowledged
    }
    if (number > snapshot) {
      sealed.add(new Log(number, good));
    }
    highest = number = next;
    good = Format.HEADER;
    log = fresh;
  }

  /** What the store takes on disk now (bytes), without what a compaction under way has written. */
  long bytes() {
    long sum = good + snapshotBytes + olderBytes + asideBytes + strayBytes;
    for (Log each : sealed) {
      sum += each.good();
    }
    return sum;
  }

  /**
   * Writes entries, all of which are on disk when this returns. Where it throws none of them counts
   * once a later write has returned; should the process end before that, the first of them may
   * count, in order.
   */
  void write(List<Entry> entries) throws IOException {
    long length = 0;
    for (Entry entry : entries) {
      length += Format.length(entry);
    }
    if (bytes() + length > mostBytes) {
      throw new IOException("the store is full: " + bytes() + " of " + mostBytes + " bytes");
    }
    if (log == null) {
      begin();
    }
    put(entries, (int) length);
    if (good > Math.max(SHORTEST_LOG, mostBytes / LOG_PART)) {
      giveUp(); // the next write begins another
    }
  }

  private void put(List<Entry> entries, int length) throws IOException {
    if (buffer.capacity() < length) {
      buffer = ByteBuffer.allocate(length);
    }
    buffer.clear();
    for (Entry entry : entries) {
      Format.put(buffer, entry, number, good + buffer.position(), good);
    }
    try {
      log.write(buffer.flip());
      log.sync();
      good += length;
    } catch (IOException e) {
      giveUp();
      throw e;
    } finally {
      if (buffer.capacity() > CHUNK) {
        buffer = ByteBuffer.allocate(1 << 16);
      }
    }
  }

  private void giveUp() {
    closeQuietly(log);
    log = null;
  }

  private static void closeQuietly(Disk.Out out) {
    try {
      out.close();
    } catch (IOException e) {
      return; // it is not used again, and what counts of it is known
    }
  }

  /** Whether the logs have grown so long that they should be compacted. */
  boolean wantsCompaction() {
    long logs = good;
    for (Log each : sealed) {
      logs += each.good();
    }
    return logs > mostBytes / LOGS_PART || sealed.size() >= MOST_LOGS;
  }

  /** A compaction of all there is; the log goes on in another file. */
  Compaction compaction() throws IOException {
    if (bytes() + snapshotBytes > mostBytes && olderSnapshot > 0) {
      disk.delete(Names.snapshot(olderSnapshot));
      olderSnapshot = olderBytes = 0;
    }
    if (bytes() + snapshotBytes > mostBytes + mostBytes / LOGS_PART) {
      throw new IOException("no room to compact in: " + bytes() + " of " + mostBytes + " bytes");
    }
    if (log != null) {
      giveUp();
    }
    begin();
    return new Compaction(sealed.get(sealed.size() - 1).number(), snapshot, List.copyOf(sealed));
  }

  /** One compaction: {@link #run} on any one thread, then {@link Engine#finish} on the writer's. */
  final class Compaction {
    private final long target;
    private final long base;
    private final List<Log> logs;
    private long bytes;

    private Compaction(long target, long base, List<Log> logs) {
      this.target = target;
      this.base = base;
      this.logs = logs;
    }

    /**
     * Folds the snapshot and the sealed logs into a new snapshot, and makes it the one that stands.
     */
    void run() throws IOException {
      Fold fold = owner.fold();
      if (base > 0) {
        Recovery.feed(disk, Names.snapshot(base), base, Long.MAX_VALUE, fold::add);
      }
      for (Log each : logs) {
        Recovery.feed(disk, Names.log(each.number()), each.number(), each.good(), fold::add);
      }
      bytes = writeSnapshot(target, fold);
      manifest(target, base);
    }
  }

  /** A compaction has failed: nothing changes, but what it wrote may still lie there. */
  void abandon(Compaction failed) {
    strayBytes += failed.bytes;
  }

  /** A compaction has run: what it stands for goes. */
  void finish(Compaction done) throws IOException {
    installed(done.target, done.bytes, done.logs, done.base);
  }

  private void installed(long fresh, long bytes, List<Log> old, long base) throws IOException {
    long lapsed = olderSnapshot;
    snapshot = fresh;
    olderSnapshot = base;
    olderBytes = snapshotBytes;
    snapshotBytes = bytes;
    sealed.removeAll(old);
    if (lapsed > 0 && lapsed != base) {
      disk.delete(Names.snapshot(lapsed));
    }
    for (Log each : old) {
      disk.delete(Names.log(each.number()));
    }
  }

  private long writeSnapshot(long target, Fold fold) throws IOException {
    String name = Names.snapshot(target);
    Snapshot to = new Snapshot(target, disk.create(name + Names.NEW));
    try {
      to.write(new Format.Header('S', Format.VERSION, target, 0, 0).bytes());
      fold.forEach(to::add);
      to.end();
    } finally {
      closeQuietly(to.out);
    }
    disk.rename(name + Names.NEW, name);
    disk.syncFolder();
    return to.at;
  }

  private void manifest(long fresh, long base) throws IOException {
    Entry entry =
        new Entry(
            Format.MANIFEST,
            1,
            Manifest.newBuilder().setSnapshot(fresh).setOlderSnapshot(base).build().toByteArray());
    ByteBuffer bytes =
        ByteBuffer.allocate(Format.HEADER + Format.length(entry))
            .put(new Format.Header('M', Format.VERSION, 0, 0, 0).bytes());
    Format.put(bytes, entry, 0, Format.HEADER, 0);
    Disk.Out out = disk.create(Names.MANIFEST + Names.NEW);
    try {
      out.write(bytes.flip());
      out.sync();
    } finally {
      closeQuietly(out);
    }
    disk.rename(Names.MANIFEST + Names.NEW, Names.MANIFEST);
    disk.syncFolder();
  }

  /** A snapshot that is being written; an error waits until its end. */
  private static final class Snapshot {
    private final long number;
    private final Disk.Out out;
    private ByteBuffer chunk = ByteBuffer.allocate(CHUNK);
    private long at;
    private long entries;
    private IOException failed;

    Snapshot(long number, Disk.Out out) {
      this.number = number;
      this.out = out;
    }

    void add(Entry entry) {
      put(entry);
      entries++;
    }

    private void put(Entry entry) {
      if (failed != null) {
        return;
      }
      try {
        if (chunk.remaining() < Format.length(entry)) {
          flush();
          if (chunk.capacity() < Format.length(entry)) {
            chunk = ByteBuffer.allocate(Format.length(entry));
          }
        }
        Format.put(chunk, entry, number, at + chunk.position(), 0);
      } catch (IOException e) {
        failed = e;
      }
    }

    private void flush() throws IOException {
      write(chunk.flip());
      chunk.clear();
    }

    private void write(ByteBuffer bytes) throws IOException {
      int length = bytes.remaining();
      out.write(bytes);
      at += length;
    }

    void end() throws IOException {
      put(
          new Entry(
              Format.SNAPSHOT_END,
              1,
              SnapshotEnd.newBuilder().setEntries(entries).build().toByteArray()));
      if (failed != null) {
        throw failed;
      }
      flush();
      out.sync();
    }
  }

  /** Ends the log with a mark that vouches for all before it. */
  @Override
  public void close() {
    try {
      if (log != null && good > Format.HEADER) {
        put(List.of(new Entry(Format.CLOSED, 1, new byte[0])), Format.HEAD);
      }
    } catch (IOException e) {
      return; // all that counts is on disk already
    } finally {
      if (log != null) {
        giveUp();
      }
    }
  }
}
