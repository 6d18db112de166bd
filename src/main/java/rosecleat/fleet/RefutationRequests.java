package rosecleat.fleet;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * A queue of members that are dead in this view but may be alive. Each is sent a ping that includes
 * its recorded state, so that it can refute that. This is how the sides of a healed partition find
 * each other. Each gossip round sends a limited number of requests.
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

  /** Queues a member for one of the next gossip rounds. */
  void add(Member member) {
    if (queue.size() < MAX_QUEUED && queued.add(member)) {
      queue.add(member);
    }
  }

  /** Schedules a gossip round if members are queued. */
  void requestRound(long nowUs) {
    if (!queue.isEmpty()) {
      dissemination.requestRound(nowUs);
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Pings the next queued members that are still in the member list. */
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
