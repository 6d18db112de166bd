package rosecleat.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import rosecleat.store.Recovered.Log;
import rosecleat.store.Recovered.Plan;
import rosecleat.store.wire.Manifest;
import rosecleat.store.wire.SnapshotEnd;

/**
 * Reads a folder and finds what counts, changing nothing. Each file is checked whole before any of
 * it reaches the owner. A folder that another process writes to meanwhile may lose files under the
 * reader: that is an {@link IOException}, and a second reading will do.
 */
final class Recovery {
  /** Something in a file is of a later program: nothing of the folder may be used or changed. */
  private static final class Newer extends Exception {
    private static final long serialVersionUID = 1;

    Newer(String what) {
      super(what, null, false, false);
    }
  }

  /** How far a file counts; {@code bad} says what is wrong from there on, null where nothing is. */
  private record Checked(long good, long entries, boolean ended, String bad, boolean vouched) {}

  private final Disk disk;
  private final Owner owner;
  private final List<Finding> findings = new ArrayList<>();
  private final List<String> aside = new ArrayList<>();
  private final List<String> leftovers = new ArrayList<>();
  private final List<Log> logs = new ArrayList<>();
  private Set<String> names;
  private long entries;
  private boolean logsCount = true;

  private Recovery(Disk disk, Owner owner) {
    this.disk = disk;
    this.owner = owner;
  }

  /** Finds what counts in a folder. */
  static Recovered read(Disk disk, Owner owner) throws IOException {
    return new Recovery(disk, owner).read();
  }

  private Recovered read() throws IOException {
    names = disk.names();
    long bytes = 0;
    for (String name : names) {
      bytes += Names.ours(name) ? size(name) : 0;
    }
    Fold fold = owner.fold();
    try {
      Plan plan = plan();
      if (plan.snapshot() > 0) {
        feed(disk, Names.snapshot(plan.snapshot()), plan.snapshot(), Long.MAX_VALUE, fold::add);
      }
      for (Log log : plan.logs()) {
        feed(disk, Names.log(log.number()), log.number(), log.good(), fold::add);
      }
      return new Recovered(null, fold, List.copyOf(findings), entries, bytes, plan);
    } catch (Newer e) {
      return new Recovered(e.getMessage(), owner.fold(), List.copyOf(findings), 0, bytes, null);
    }
  }

  private Plan plan() throws IOException, Newer {
    List<Long> logNumbers = Names.logs(names);
    List<Long> snapshots = Names.snapshots(names);
    names.stream().filter(Names::ours).filter(Names::unfinished).forEach(leftovers::add);
    long highest = Math.max(last(logNumbers), last(snapshots));
    if (highest == 0 && !names.contains(Names.MANIFEST)) {
      return new Plan(true, 0, 0, List.of(), 0, List.of(), List.copyOf(leftovers), false);
    }
    Manifest manifest = manifest();
    long snapshot = snapshot(manifest, snapshots);
    long older =
        manifest == null || snapshot != manifest.getSnapshot() ? 0 : manifest.getOlderSnapshot();
    for (long number : snapshots) {
      if (number != snapshot && number != older && !aside.contains(Names.snapshot(number))) {
        leftovers.add(Names.snapshot(number));
      }
    }
    boolean usable = logsCount;
    chain(snapshot, logNumbers, usable);
    boolean rebase = manifest == null || !aside.isEmpty();
    return new Plan(
        false,
        snapshot,
        older,
        List.copyOf(logs),
        highest,
        List.copyOf(aside),
        List.copyOf(leftovers),
        rebase);
  }

  private static long last(List<Long> numbers) {
    return numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
  }

  private void damage(String file, long at, long bytes, String what) {
    findings.add(new Finding(true, file, at, bytes, what));
    if (names.contains(file)) {
      aside.add(file);
    }
  }

  /** The manifest; null where it is damaged. */
  private Manifest manifest() throws IOException, Newer {
    String name = Names.MANIFEST;
    if (!names.contains(name)) {
      damage(name, 0, 0, "it is missing, though there are logs or snapshots");
      return null;
    }
    try (Bytes bytes = new Bytes(disk.open(name))) {
      Format.Header header = header(name, bytes);
      Format.Read read =
          header == null || header.kind() != 'M' ? null : Format.read(bytes, 0, Format.HEADER);
      if (read == null || read.entry().type() != Format.MANIFEST) {
        damage(name, 0, bytes.size(), "it can't be read");
        return null;
      }
      return Manifest.parseFrom(read.entry().payload());
    } catch (InvalidProtocolBufferException e) {
      damage(name, 0, 0, "it can't be read");
      return null;
    }
  }

  private Format.Header header(String name, Bytes bytes) throws IOException, Newer {
    ByteBuffer head = bytes.at(0, Format.HEADER);
    Format.Header header = head == null ? null : Format.header(head);
    if (header != null && header.version() > Format.VERSION) {
      throw new Newer(
          name
              + " is of format "
              + header.version()
              + ", and this program reads up to "
              + Format.VERSION);
    }
    return header;
  }

  /** The snapshot that counts. */
  private long snapshot(Manifest manifest, List<Long> numbers) throws IOException, Newer {
    List<Long> candidates = new ArrayList<>();
    if (manifest == null) {
      numbers.forEach(n -> candidates.add(0, n));
    } else if (manifest.getSnapshot() > 0) {
      candidates.add(manifest.getSnapshot());
      if (manifest.getOlderSnapshot() > 0) {
        candidates.add(manifest.getOlderSnapshot());
      }
    }
    for (long number : candidates) {
      String name = Names.snapshot(number);
      if (!names.contains(name)) {
        damage(name, 0, 0, "it is missing");
      } else {
        try (Bytes bytes = new Bytes(disk.open(name))) {
          Format.Header header = header(name, bytes);
          Checked checked =
              header == null || header.kind() != 'S' || header.number() != number
                  ? null
                  : check(name, bytes, number, bytes.size());
          if (checked != null && checked.bad == null && checked.ended) {
            entries += checked.entries;
            return number;
          }
          damage(
              name, checked == null ? 0 : checked.good, bytes.size(), "the snapshot is not whole");
        }
      }
      logsCount = false; // they begin behind a snapshot that is lost
    }
    return 0;
  }

  /**
   * The logs behind the snapshot, in order, as far as each one's header leads to the one before.
   */
  private void chain(long snapshot, List<Long> numbers, boolean usable) throws IOException, Newer {
    Map<Long, Format.Header> headers = new HashMap<>();
    List<Long> readable = new ArrayList<>();
    for (long number : numbers) {
      if (number <= snapshot) {
        leftovers.add(Names.log(number));
        continue;
      }
      try (Bytes bytes = new Bytes(disk.open(Names.log(number)))) {
        Format.Header header = header(Names.log(number), bytes);
        if (header != null && header.kind() == 'L' && header.number() == number) {
          headers.put(number, header);
          readable.add(number);
        }
      }
    }
    boolean broken = !usable;
    long before = snapshot;
    for (long number : numbers) {
      if (number <= snapshot) {
        continue;
      }
      String name = Names.log(number);
      Format.Header header = headers.get(number);
      if (header == null && headers.values().stream().noneMatch(h -> h.before() == number)) {
        findings.add(new Finding(false, name, 0, size(name), "a log that was never begun"));
        leftovers.add(name);
      } else if (broken) {
        damage(name, 0, size(name), "what it follows is damaged or missing");
      } else if (header == null) {
        damage(name, 0, size(name), "its header can't be read");
        broken = true;
      } else if (header.before() != before) {
        damage(name, 0, size(name), "log " + header.before() + " before it is missing");
        broken = true;
      } else {
        broken = !log(name, number, next(number, readable, headers));
        before = number;
      }
    }
  }

  private static Format.Header next(
      long number, List<Long> readable, Map<Long, Format.Header> headers) {
    return readable.stream()
        .map(headers::get)
        .filter(h -> h.before() == number)
        .findFirst()
        .orElse(null);
  }

  /** Checks one log; false where it is damaged. */
  private boolean log(String name, long number, Format.Header next) throws IOException, Newer {
    try (Bytes bytes = new Bytes(disk.open(name))) {
      long end = next == null ? bytes.size() : next.beforeBytes();
      if (end > bytes.size()) {
        damage(name, bytes.size(), end - bytes.size(), "it is shorter than the next log says");
        return false;
      }
      Checked checked = check(name, bytes, number, end);
      if (checked.bad != null && (next != null || checked.vouched)) {
        damage(name, checked.good, end - checked.good, checked.bad);
        return false;
      }
      if (checked.bad != null) {
        findings.add(
            new Finding(
                false, name, checked.good, end - checked.good, "an unfinished write was cut off"));
      }
      entries += checked.entries;
      logs.add(new Log(number, checked.good));
      return true;
    }
  }

  private long size(String name) throws IOException {
    try (Disk.In in = disk.open(name)) {
      return in.size();
    }
  }

  /** Reads a file's entries up to its end or the first that is bad. */
  private Checked check(String name, Bytes bytes, long number, long end) throws IOException, Newer {
    long at = Format.HEADER;
    long count = 0;
    boolean ended = false;
    while (at < end) {
      Format.Read read = ended ? null : Format.read(bytes, number, at);
      if (read == null || read.next() > end) {
        return new Checked(
            at,
            count,
            false,
            ended ? "something stands behind its end" : "an entry can't be read",
            vouched(bytes, number, at, end));
      }
      Entry entry = read.entry();
      if (entry.type() == Format.SNAPSHOT_END) {
        if (SnapshotEnd.parseFrom(entry.payload()).getEntries() != count) {
          return new Checked(at, count, false, "entries are missing", false);
        }
        ended = true;
      } else if (entry.type() != Format.CLOSED) {
        if (entry.type() > Entry.MOST_TYPE || entry.version() > owner.reads(entry.type())) {
          throw new Newer(
              name
                  + " at byte "
                  + at
                  + " has an entry of type "
                  + entry.type()
                  + ", version "
                  + entry.version()
                  + ", which this program does not know");
        }
        count++;
      }
      at = read.next();
    }
    return new Checked(at, count, ended, null, false);
  }

  /**
   * Whether a good entry behind a bad place says that the place was on disk when it was written.
   */
  private static boolean vouched(Bytes bytes, long number, long bad, long end) throws IOException {
    for (long at = bad + 1; at <= end - Format.HEAD; at++) {
      Format.Read read = Format.read(bytes, number, at);
      if (read != null && read.synced() > bad) {
        return true;
      }
    }
    return false;
  }

  /** Hands the owner's entries of a file over, up to a place; fails where one can't be read. */
  static void feed(Disk disk, String name, long number, long end, Consumer<Entry> taker)
      throws IOException {
    try (Bytes bytes = new Bytes(disk.open(name))) {
      long at = Format.HEADER;
      long stop = Math.min(end, bytes.size());
      while (at < stop) {
        Format.Read read = Format.read(bytes, number, at);
        if (read == null) {
          throw new IOException(name + " at byte " + at + ": an entry can't be read any more");
        }
        if (read.entry().type() <= Entry.MOST_TYPE) {
          taker.accept(read.entry());
        }
        at = read.next();
      }
    }
  }
}
