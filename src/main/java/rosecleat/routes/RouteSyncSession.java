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
 * One side of an exchange that synchronizes two replicas of the routes in both directions:
 *
 * <ol>
 *   <li>the opener sends the digest of its state and the digests of the state's parts;
 *   <li>if the responder still retains that state, it sends the entries that have changed since;
 *       otherwise it sends all its entries of the parts that differ;
 *   <li>in the latter case, the opener sends its entries of those parts that the responder lacks.
 * </ol>
 *
 * <p>Merging is idempotent and commutative, so a later exchange repairs the effects of one that was
 * aborted, repeated or delayed.
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
   * Creates one side of an exchange.
   *
   * @param opener whether this process opened the connection
   * @param self supplies the update that announces this process to others
   * @param onChange called after a frame of the exchange has changed the store
   * @param onEnd called when the exchange has ended, whether complete or not
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

  /** Merges the responder's answer; returns the entries that the responder lacks, if any. */
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

  /**
   * Returns the answer to the opener's digests if they differ, and in the next step merges the
   * opener's entries.
   */
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

  /**
   * Returns this store's entries, in the differing parts, that supersede those of the responder.
   */
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

  /** Returns the entries of a part; empty if the peer sent a part number that is out of range. */
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
