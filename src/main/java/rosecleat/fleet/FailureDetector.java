package rosecleat.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosecleat.fleet.wire.Ack;
import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.fleet.wire.Nack;
import rosecleat.fleet.wire.Ping;
import rosecleat.fleet.wire.PingRequest;

/**
 * SWIM's failure detector: direct probes, indirect probes through relays if a direct one is not
 * answered, and the answers to probes by other members. Reports failed probes to its listener and
 * changes no member's state itself.
 */
final class FailureDetector {
  /** Receives the failures of probes. */
  interface Listener {
    /**
     * A member did not answer a probe of this process, and no message from it arrived for a period.
     */
    void targetUnresponsive(Member target, long nowUs);

    /**
     * A member that others declared dead did not answer this process either, and no message from it
     * arrived for two periods.
     */
    void deathVerified(Member target, long nowUs);
  }

  private static final int MAX_PROBES = 64;

  /** Steps of the local health score that double the timeout of a probe. */
  private static final int HEALTH_STEPS = 2;

  private final ProtocolContext context;
  private final DatagramSender sender;
  private final LocalHealth localHealth;
  private final Listener listener;
  private final Map<Integer, Probe> probes = new LinkedHashMap<>();
  private int lastSequence;
  private long nextTimeoutUs = ProtocolContext.NEVER;

  FailureDetector(
      ProtocolContext context, DatagramSender sender, LocalHealth localHealth, Listener listener) {
    this.context = context;
    this.sender = sender;
    this.localHealth = localHealth;
    this.listener = listener;
  }

  /** Returns the time at which {@link #runTimeouts} is due. */
  long nextTimeoutUs() {
    return nextTimeoutUs;
  }

  /** Returns the sequence number for the next ping. */
  int nextSequence() {
    return ++lastSequence;
  }

  /** Returns whether the limit on outstanding probes is reached. */
  boolean isFull() {
    return probes.size() >= MAX_PROBES;
  }

  /** Starts the regular probe of a member. */
  void probe(Member target, long nowUs) {
    long directUs = directTimeoutUs();
    long timeoutUs = (long) (context.periodUs() * localHealth.timeoutFactor(HEALTH_STEPS));
    probe(target, Probe.Purpose.DETECTION, nowUs + directUs, nowUs + timeoutUs);
  }

  /** Starts a probe of a member that another one suspects. */
  void confirm(Member suspected, long nowUs) {
    long directUs = directTimeoutUs();
    probe(suspected, Probe.Purpose.CONFIRMATION, nowUs + directUs, nowUs + 2 * directUs);
  }

  private long directTimeoutUs() {
    double factor = localHealth.timeoutFactor(HEALTH_STEPS);
    return (long) (Tuning.DIRECT_TIMEOUT_PERIODS * context.periodUs() * factor);
  }

  private void probe(Member target, Probe.Purpose purpose, long directTimeoutUs, long endUs) {
    if (isFull()) {
      context.effects().count(MembershipCounter.PROBES_FULL);
      return;
    }
    Probe probe = new Probe(nextSequence(), target, purpose, null, directTimeoutUs, endUs);
    begin(probe);
    sender.ping(target, probe.sequence);
  }

  /**
   * Starts a probe of a member that another one declared dead, unless such a probe is outstanding.
   */
  void verifyDeath(Member member, long nowUs) {
    for (Probe probe : probes.values()) {
      if (probe.target == member && probe.purpose == Probe.Purpose.VERIFICATION) {
        return;
      }
    }
    long timeoutUs = (long) (localHealth.timeoutFactor(HEALTH_STEPS) * context.periodUs());
    Probe probe =
        new Probe(
            nextSequence(),
            member,
            Probe.Purpose.VERIFICATION,
            null,
            ProtocolContext.NEVER,
            nowUs + timeoutUs);
    begin(probe);
    Ping.Builder ping =
        Ping.newBuilder().setSequence(probe.sequence).setTarget(WireCodec.encode(member.id));
    Datagram.Builder datagram =
        sender
            .newDatagram()
            .setPing(ping)
            .addMembers(WireCodec.encode(member, MemberState.DEAD, 0));
    sender.send(member.endpoint, datagram);
  }

  private void begin(Probe probe) {
    probes.put(probe.sequence, probe);
    nextTimeoutUs = Math.min(nextTimeoutUs, probe.nextTimeoutUs());
  }

  /** Handles the probes whose direct or final timeout has passed. */
  void runTimeouts(long nowUs) {
    for (Probe probe : List.copyOf(probes.values())) {
      if (nowUs >= probe.endUs) {
        probes.remove(probe.sequence);
        probeFailed(probe, nowUs);
      } else if (nowUs >= probe.directTimeoutUs) {
        probe.directTimeoutUs = ProtocolContext.NEVER;
        directAnswerOverdue(probe);
      }
    }
    scheduleTimeouts();
  }

  /** Extends the timeouts of all probes by the time for which this process was paused. */
  void extendTimeouts(long pauseUs) {
    for (Probe probe : probes.values()) {
      if (probe.directTimeoutUs != ProtocolContext.NEVER) {
        probe.directTimeoutUs += pauseUs;
      }
      probe.endUs += pauseUs;
    }
    scheduleTimeouts();
  }

  private void scheduleTimeouts() {
    nextTimeoutUs = ProtocolContext.NEVER;
    for (Probe probe : probes.values()) {
      nextTimeoutUs = Math.min(nextTimeoutUs, probe.nextTimeoutUs());
    }
  }

  /**
   * Sends a nack to the requester of a relayed probe. For a regular probe, requests indirect probes
   * from relays, since possibly only the path between this process and the target is broken, and
   * repeats the ping.
   */
  private void directAnswerOverdue(Probe probe) {
    if (probe.purpose == Probe.Purpose.RELAY) {
      Nack.Builder nack = Nack.newBuilder().setSequence(probe.requester.sequence());
      sender.send(probe.requester.endpoint(), sender.newDatagram().setNack(nack));
      return;
    }
    if (probe.purpose != Probe.Purpose.DETECTION) {
      return;
    }
    Member target = probe.target;
    MemberUpdateMessage update = WireCodec.encode(target, target.state, context.self().hash);
    PingRequest request =
        PingRequest.newBuilder().setSequence(probe.sequence).setTarget(update).build();
    for (Member relay : context.members().sample(Tuning.INDIRECT_PROBES, target)) {
      probe.relaysAsked++;
      sender.send(relay.endpoint, sender.newDatagram().setPingRequest(request));
    }
    sender.ping(target, probe.sequence);
  }

  private void probeFailed(Probe probe, long nowUs) {
    Member target = probe.target;
    if (probe.purpose == Probe.Purpose.RELAY
        || !target.state.isActive()
        || context.members().get(target.id) != target) {
      return;
    }
    context.effects().count(MembershipCounter.PROBE_FAILED);
    if (probe.purpose == Probe.Purpose.VERIFICATION) {
      if (target.lastMessageUs < nowUs - 2 * context.periodUs()) {
        listener.deathVerified(target, nowUs);
      }
      return;
    }
    if (probe.purpose == Probe.Purpose.DETECTION && probe.nacks < probe.relaysAsked) {
      // at least one relay sent no nack, so this process may itself be disconnected
      localHealth.adjust(1);
    }
    if (target.lastMessageUs < nowUs - context.periodUs()) {
      listener.targetUnresponsive(target, nowUs);
    }
  }

  /** Answers a ping, unless this process is leaving. */
  void onPing(Endpoint from, Ping ping) {
    if (context.isLeaving()) {
      return;
    }
    Datagram.Builder answer = sender.newDatagram();
    if (ping.hasTarget() && !WireCodec.decode(ping.getTarget()).equals(context.self().id)) {
      // the ping is for another start at this address: the answer's header identifies this start
      context.effects().count(MembershipCounter.PING_FOR_OTHER_START);
      sender.send(from, answer);
      return;
    }
    sender.send(from, answer.setAck(Ack.newBuilder().setSequence(ping.getSequence())));
  }

  /**
   * Ends the probe that an ack answers. An ack that arrives after the probe's end has no effect;
   * the header of its datagram alone shows that the sender is alive.
   */
  void onAck(int sequence, long nowUs) {
    Probe probe = probes.remove(sequence);
    if (probe == null) {
      return;
    }
    if (probe.purpose == Probe.Purpose.RELAY) {
      Ack.Builder ack = Ack.newBuilder().setSequence(probe.requester.sequence());
      sender.send(probe.requester.endpoint(), sender.newDatagram().setAck(ack));
    } else if (probe.purpose == Probe.Purpose.DETECTION) {
      localHealth.adjust(-1);
      probe.target.lastMessageUs = nowUs;
    }
  }

  /** Records that a relay received no answer from the target either. */
  void onNack(int sequence) {
    Probe probe = probes.get(sequence);
    if (probe != null && probe.purpose != Probe.Purpose.RELAY) {
      probe.nacks++;
    }
  }

  /** Probes a target on behalf of another member. */
  void onPingRequest(Endpoint from, PingRequest request, long nowUs) {
    Optional<Member> target =
        WireCodec.decode(request.getTarget())
            .map(update -> context.members().get(update.id()))
            .filter(member -> member != context.self());
    if (target.isEmpty() || isFull()) {
      context.effects().count(MembershipCounter.PING_REQUEST_REJECTED);
      return;
    }
    long periodUs = context.periodUs();
    Probe probe =
        new Probe(
            nextSequence(),
            target.get(),
            Probe.Purpose.RELAY,
            new Probe.Requester(from, request.getSequence()),
            nowUs + (long) (Tuning.DIRECT_TIMEOUT_PERIODS * periodUs),
            nowUs + periodUs);
    begin(probe);
    sender.ping(probe.target, probe.sequence);
  }
}
