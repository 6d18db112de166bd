package rosecleat.fleet;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Members that are held for dead here and may be alive: each is pinged and told so, and refutes it
 * if it can. This is how the sides of a healed partition find each other. Paced, a few in each
 * gossip round.
 */
final class RefutationRequests {
  private static final int MAX_QUEUED = 4_096;
  private static final int MAX_REQUESTS_PER_ROUND = 12;

  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final DatagramSender sender;
  private final FailureDetector detector;
  private final ArrayDeque<Member> queue = new ArrayDeque<>();
  private final Set<Member> queued = new HashSet<>();

  RefutationRequests(
      ProtocolContext context,
      Dissemination dissemination,
      DatagramSender sender,
      FailureDetector detector) {
    this.context = context;
    this.dissemination = dissemination;
    this.sender = sender;
    this.detector = detector;
  }

  /** Queues a member for a coming gossip round. */
  void add(Member member) {
    if (queue.size() < MAX_QUEUED && queued.add(member)) {
      queue.add(member);
    }
  }

  /** Makes sure that a gossip round comes while members are queued. */
  void requestRound(long nowUs) {
    if (!queue.isEmpty()) {
      dissemination.requestRound(nowUs);
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Pings the next few members that are still listed. */
  void sendBatch() {
    for (int sent = 0; sent < MAX_REQUESTS_PER_ROUND && !queue.isEmpty(); sent++) {
      Member member = queue.poll();
      queued.remove(member);
      if (context.members().get(member.id) == member && !context.isLeaving()) {
        sender.ping(member, detector.nextSequence());
      }
    }
  }
}
