package rosecleat.routes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import rosecleat.fleet.Checksum;
import rosecleat.fleet.ExchangeSession;
import rosecleat.fleet.wire.MemberNews;
import rosecleat.routes.wire.Routes;
import rosecleat.routes.wire.Stamped;

/**
 * Two processes make what they hold of routes equal, whichever of them has more. The opener says
 * what it holds; the other tells what changed since, where it remembers that state, or else all of
 * the parts that differ; what the other lacks comes last. What is torn, doubled or late changes
 * nothing that a later exchange does not mend.
 */
public final class RouteSyncSession implements ExchangeSession {
  private static final int LONGEST = 64;
  private static final Instance.State[] STATES = Instance.State.values();

  private final RouteStore book;
  private final boolean opener;
  private final String cluster;
  private final Supplier<MemberNews> self;
  private final Runnable changed;
  private final Runnable over;
  private int step;

  /** One side; {@code changed} is told of news, {@code over} when it has ended, well or not. */
  public RouteSyncSession(
      RouteStore book,
      boolean opener,
      String cluster,
      Supplier<MemberNews> self,
      Runnable changed,
      Runnable over) {
    this.book = book;
    this.opener = opener;
    this.cluster = cluster;
    this.self = self;
    this.changed = changed;
    this.over = over;
  }

  @Override
  public void aborted() {
    over.run();
  }

  @Override
  public byte[] nextFrame(byte[] received, long nowUs) {
    Routes in = received == null ? null : read(Checksum.verify(received, cluster));
    step++;
    if (received != null && in == null) {
      over.run();
      return null;
    }
    if (opener && step == 1) {
      Routes.Builder first = frame();
      for (long part : book.trie().digests()) {
        first.addParts(part);
      }
      return seal(first);
    }
    if (!opener && step == 1 && in.getHolds() != book.stateDigest() && in.getPartsCount() == 256) {
      return seal(answer(in));
    }
    if (opener && step == 2) {
      List<RouteEntry> mine = in.getJoined() ? List.of() : lacked(in);
      merge(in);
      if (!mine.isEmpty()) {
        Routes.Builder last = frame();
        mine.forEach(e -> last.addEntries(write(e)));
        over.run();
        return seal(last);
      }
    } else if (!opener && step == 2) {
      merge(in);
    }
    over.run();
    return null;
  }

  private Routes.Builder answer(Routes in) {
    Routes.Builder answer = frame();
    List<RouteEntry> since = book.since(in.getHolds());
    if (since != null) {
      since.forEach(e -> answer.addEntries(write(e)));
      return answer.setJoined(true);
    }
    long[] own = book.trie().digests();
    for (int part = 0; part < own.length; part++) {
      if (own[part] != in.getParts(part)) {
        answer.addDiffering(part);
        book.trie().part(part).forEach(e -> answer.addEntries(write(e)));
      }
    }
    return answer;
  }

  /** What is held here of the differing parts and holds against what the other told of them. */
  private List<RouteEntry> lacked(Routes in) {
    Map<RouteEntry.Key, RouteEntry> theirs = new HashMap<>();
    in.getEntriesList()
        .forEach(
            s -> {
              RouteEntry entry = read(s);
              if (entry != null) {
                theirs.put(entry.key(), entry);
              }
            });
    List<RouteEntry> lacked = new ArrayList<>();
    for (int part : in.getDifferingList()) {
      for (RouteEntry mine :
          part < 0 || part > 255 ? List.<RouteEntry>of() : book.trie().part(part)) {
        if (mine.beats(theirs.get(mine.key()))) {
          lacked.add(mine);
        }
      }
    }
    return lacked;
  }

  private void merge(Routes in) {
    List<RouteEntry> entries = new ArrayList<>();
    for (Stamped each : in.getEntriesList()) {
      RouteEntry entry = read(each);
      if (entry == null) {
        return; // all or nothing: what is wrong in one is not to be trusted in the others
      }
      entries.add(entry);
    }
    if (book.merge(entries)) {
      changed.run();
    }
  }

  private Routes.Builder frame() {
    return Routes.newBuilder().setFrom(self.get()).setHolds(book.stateDigest());
  }

  private byte[] seal(Routes.Builder frame) {
    return Checksum.attach(frame.build().toByteArray(), cluster);
  }

  private static Routes read(byte[] bytes) {
    try {
      return bytes == null ? null : Routes.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }

  private static Stamped write(RouteEntry e) {
    Stamped.Builder s =
        Stamped.newBuilder()
            .setService(e.key().service())
            .setName(e.key().name())
            .setTime(e.time())
            .setAuthor(e.author());
    Instance i = e.instance();
    return i == null
        ? s.setRemoved(true).build()
        : s.setHost(i.host())
            .setPort(i.port())
            .setZone(i.zone())
            .setWeight(i.weight())
            .setState(i.state().ordinal())
            .setPlaces(i.capacity())
            .build();
  }

  private static RouteEntry read(Stamped s) {
    if (s.getService().isEmpty()
        || s.getService().length() > LONGEST
        || s.getName().isEmpty()
        || s.getName().length() > LONGEST
        || s.getTime() <= 0
        || s.getTime() > 1L << 56
        || s.getAuthor().length() > LONGEST) {
      return null;
    }
    RouteEntry.Key key = new RouteEntry.Key(s.getService(), s.getName());
    if (s.getRemoved()) {
      return new RouteEntry(key, null, s.getTime(), s.getAuthor());
    }
    if (s.getPort() <= 0
        || s.getPort() > 0xffff
        || s.getHost().length() > LONGEST
        || !(s.getWeight() > 0)
        || s.getWeight() > 1e6
        || s.getState() < 0
        || s.getState() >= STATES.length
        || s.getPlaces() < 0
        || s.getZone().length() > LONGEST) {
      return null;
    }
    return new RouteEntry(
        key,
        new Instance(
            s.getHost(),
            s.getPort(),
            s.getZone(),
            s.getWeight(),
            STATES[s.getState()],
            s.getPlaces()),
        s.getTime(),
        s.getAuthor());
  }
}
