package rosecleat.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import rosecleat.fleet.ExchangeSession;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.routes.wire.RouteSyncFrame;

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
  private final Supplier<MemberUpdateMessage> self;
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
      Supplier<MemberUpdateMessage> self,
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
    Optional<RouteSyncFrame.Builder> next =
        RouteCodec.decodeFrame(received, cluster)
            .flatMap(frame -> opener ? nextOfOpener(frame) : nextOfResponder(frame));
    if (opener || next.isEmpty()) {
      onEnd.run();
    }
    return next.map(frame -> RouteCodec.encodeFrame(frame, cluster)).orElse(null);
  }

  /** After the answer: what the responder lacks, or nothing. */
  private Optional<RouteSyncFrame.Builder> nextOfOpener(RouteSyncFrame answer) {
    if (step != 2) {
      return Optional.empty();
    }
    List<RouteEntry> missing = answer.getChangesOnly() ? List.of() : entriesMissingAtPeer(answer);
    merge(answer);
    if (missing.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(addEntries(header(), missing));
  }

  /** First the answer to digests that differ; then the opener's entries are merged. */
  private Optional<RouteSyncFrame.Builder> nextOfResponder(RouteSyncFrame frame) {
    if (step == 1
        && frame.getStateDigest() != store.stateDigest()
        && frame.getPartDigestsCount() == RouteTrie.PARTS) {
      return Optional.of(answerFrame(frame));
    }
    if (step == 2) {
      merge(frame);
    }
    return Optional.empty();
  }

  private RouteSyncFrame.Builder header() {
    return RouteSyncFrame.newBuilder().setFrom(self.get()).setStateDigest(store.stateDigest());
  }

  private RouteSyncFrame.Builder digestFrame() {
    RouteSyncFrame.Builder frame = header();
    for (long digest : store.trie().partDigests()) {
      frame.addPartDigests(digest);
    }
    return frame;
  }

  private RouteSyncFrame.Builder answerFrame(RouteSyncFrame digests) {
    RouteSyncFrame.Builder frame = header();
    Optional<List<RouteEntry>> changes = store.changesSince(digests.getStateDigest());
    if (changes.isPresent()) {
      return addEntries(frame, changes.get()).setChangesOnly(true);
    }
    long[] ownDigests = store.trie().partDigests();
    for (int part = 0; part < ownDigests.length; part++) {
      if (ownDigests[part] != digests.getPartDigests(part)) {
        frame.addDifferingParts(part);
        addEntries(frame, store.trie().entriesOfPart(part));
      }
    }
    return frame;
  }

  private static RouteSyncFrame.Builder addEntries(
      RouteSyncFrame.Builder frame, List<RouteEntry> entries) {
    entries.forEach(entry -> frame.addEntries(RouteCodec.encode(entry)));
    return frame;
  }

  /** The entries here, of the differing parts, that supersede those of the other side. */
  private List<RouteEntry> entriesMissingAtPeer(RouteSyncFrame answer) {
    Map<RouteEntry.Key, RouteEntry> peerEntries = new HashMap<>();
    answer
        .getEntriesList()
        .forEach(
            message ->
                RouteCodec.decode(message).ifPresent(entry -> peerEntries.put(entry.key(), entry)));
    List<RouteEntry> missing = new ArrayList<>();
    for (int part : answer.getDifferingPartsList()) {
      for (RouteEntry entry : entriesOfPart(part)) {
        if (entry.supersedes(peerEntries.get(entry.key()))) {
          missing.add(entry);
        }
      }
    }
    return missing;
  }

  /** A part's number comes from the other side and may be out of bounds. */
  private List<RouteEntry> entriesOfPart(int part) {
    return part < 0 || part >= RouteTrie.PARTS ? List.of() : store.trie().entriesOfPart(part);
  }

  private void merge(RouteSyncFrame frame) {
    Optional<List<RouteEntry>> entries = RouteCodec.decodeAll(frame.getEntriesList());
    if (entries.isPresent() && store.merge(entries.get())) {
      onChange.run();
    }
  }
}
