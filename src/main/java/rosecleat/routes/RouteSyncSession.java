package rosecleat.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import rosecleat.fleet.ExchangeSession;
import rosecleat.fleet.wire.MemberNews;
import rosecleat.routes.wire.Routes;

/**
 * One side of an exchange that makes two replicas of the routes equal, whichever has more:
 *
 * <ol>
 *   <li>the opener sends the digests of its state and of the state's parts;
 *   <li>the responder sends what changed since, where it remembers that state, or else all entries
 *       of the parts that differ;
 *   <li>the opener sends what the responder lacks of those parts.
 * </ol>
 *
 * <p>Merging is idempotent and commutes: an exchange that is broken off, repeated or late changes
 * nothing that a later one does not repair.
 */
public final class RouteSyncSession implements ExchangeSession {
  private final RouteStore store;
  private final boolean opener;
  private final String cluster;
  private final Supplier<MemberNews> self;
  private final Runnable onChange;
  private final Runnable onEnd;
  private int step;

  /**
   * One side of an exchange.
   *
   * @param opener whether this process opened the connection
   * @param self this process, as it is announced to others
   * @param onChange runs when the exchange has changed the store
   * @param onEnd runs when the exchange has ended, complete or not
   */
  public RouteSyncSession(
      RouteStore store,
      boolean opener,
      String cluster,
      Supplier<MemberNews> self,
      Runnable onChange,
      Runnable onEnd) {
    this.store = store;
    this.opener = opener;
    this.cluster = cluster;
    this.self = self;
    this.onChange = onChange;
    this.onEnd = onEnd;
  }

  @Override
  public void aborted() {
    onEnd.run();
  }

  @Override
  public byte[] nextFrame(byte[] received, long nowUs) {
    step++;
    if (received == null) {
      return RouteCodec.encodeFrame(digestFrame(), cluster);
    }
    Optional<Routes.Builder> next =
        RouteCodec.decodeFrame(received, cluster)
            .flatMap(frame -> opener ? nextOfOpener(frame) : nextOfResponder(frame));
    if (opener || next.isEmpty()) {
      onEnd.run();
    }
    return next.map(frame -> RouteCodec.encodeFrame(frame, cluster)).orElse(null);
  }

  /** After the answer: what the responder lacks, or nothing. */
  private Optional<Routes.Builder> nextOfOpener(Routes answer) {
    if (step != 2) {
      return Optional.empty();
    }
    List<RouteEntry> missing = answer.getJoined() ? List.of() : missingThere(answer);
    merge(answer);
    if (missing.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(addEntries(header(), missing));
  }

  /** First the answer to digests that differ; then the opener's entries are merged. */
  private Optional<Routes.Builder> nextOfResponder(Routes frame) {
    if (step == 1
        && frame.getHolds() != store.stateDigest()
        && frame.getPartsCount() == RouteTrie.PARTS) {
      return Optional.of(answerFrame(frame));
    }
    if (step == 2) {
      merge(frame);
    }
    return Optional.empty();
  }

  private Routes.Builder header() {
    return Routes.newBuilder().setFrom(self.get()).setHolds(store.stateDigest());
  }

  private Routes.Builder digestFrame() {
    Routes.Builder frame = header();
    for (long digest : store.trie().partDigests()) {
      frame.addParts(digest);
    }
    return frame;
  }

  private Routes.Builder answerFrame(Routes digests) {
    Routes.Builder frame = header();
    Optional<List<RouteEntry>> changes = store.changesSince(digests.getHolds());
    if (changes.isPresent()) {
      return addEntries(frame, changes.get()).setJoined(true);
    }
    long[] own = store.trie().partDigests();
    for (int part = 0; part < own.length; part++) {
      if (own[part] != digests.getParts(part)) {
        frame.addDiffering(part);
        addEntries(frame, store.trie().entriesOfPart(part));
      }
    }
    return frame;
  }

  private static Routes.Builder addEntries(Routes.Builder frame, List<RouteEntry> entries) {
    entries.forEach(entry -> frame.addEntries(RouteCodec.encode(entry)));
    return frame;
  }

  /** The entries here, of the differing parts, that supersede those of the other side. */
  private List<RouteEntry> missingThere(Routes answer) {
    Map<RouteEntry.Key, RouteEntry> theirs = new HashMap<>();
    answer
        .getEntriesList()
        .forEach(
            message ->
                RouteCodec.decode(message).ifPresent(entry -> theirs.put(entry.key(), entry)));
    List<RouteEntry> missing = new ArrayList<>();
    for (int part : answer.getDifferingList()) {
      for (RouteEntry mine : entriesOfPart(part)) {
        if (mine.supersedes(theirs.get(mine.key()))) {
          missing.add(mine);
        }
      }
    }
    return missing;
  }

  /** A part's number comes from the other side and may be out of bounds. */
  private List<RouteEntry> entriesOfPart(int part) {
    return part < 0 || part >= RouteTrie.PARTS ? List.of() : store.trie().entriesOfPart(part);
  }

  private void merge(Routes frame) {
    Optional<List<RouteEntry>> entries = RouteCodec.decodeAll(frame.getEntriesList());
    if (entries.isPresent() && store.merge(entries.get())) {
      onChange.run();
    }
  }
}
