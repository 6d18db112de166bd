package rosecleat.fleet;

/** The events that the protocol counts, with the counter names that operators see. */
public enum MembershipCounter {
  /** A message that could not be decoded, or an update with a field out of bounds. */
  MALFORMED_MESSAGE("garbage"),
  /** A message of another cluster. */
  FOREIGN_CLUSTER("foreign"),
  /** A message that this process sent to itself through another address. */
  OWN_MESSAGE("own"),
  /** A ping for another start of a process at this address. */
  PING_FOR_OTHER_START("ping.other"),
  /** A rejected request for an indirect probe. */
  PING_REQUEST_REJECTED("request.refused"),
  /** A probe that was not started because too many are outstanding. */
  PROBES_FULL("probes.full"),
  /** A probe that received no answer. */
  PROBE_FAILED("probe.failed"),
  /** A member that became suspected. */
  SUSPECTED("suspected"),
  /** A member that this process declared dead after its suspicion timed out. */
  DECLARED_DEAD("dead"),
  /** A member that other members declared dead. */
  REPORTED_DEAD("told.dead"),
  /** A member that left gracefully. */
  LEFT("left"),
  /** A member that refuted a suspicion. */
  REFUTED("refuted"),
  /** A member that was dead or had left, and is alive again. */
  RETURNED("back"),
  /** A member that joined. */
  JOINED("joined"),
  /** A new member that was not admitted because the member list is full of active members. */
  MEMBERS_FULL("members.full"),
  /** An earlier start that was replaced by a later one at the same address. */
  REPLACED("replaced"),
  /** A suspicion or death of this process that this process refuted. */
  SELF_REFUTED("refutes"),
  /** Another process has this process's name and epoch. */
  EPOCH_CONFLICT("twin.epoch"),
  /** An earlier start of this process has a later epoch. */
  EPOCH_BEHIND("epoch.behind"),
  /** Another process has this process's name. */
  NAME_CONFLICT("twins"),
  /** Timers that ran late by half a period or more. */
  TIMER_LATE("late"),
  /** At least half of the members that did not leave are dead in this view. */
  PARTITION_SUSPECTED("cut"),
  /** More than half of the members are active again. */
  PARTITION_HEALED("mended"),
  /** A record of this process that exceeds a limit. */
  RECORD_REJECTED("record.refused"),
  /** A record of another process that was stored. */
  RECORD_STORED("record.taken"),
  /** A record under this process's name and epoch that this process did not write. */
  RECORD_FORGED("record.false");

  private final String counterName;

  MembershipCounter(String counterName) {
    this.counterName = counterName;
  }

  /** Returns the name that operators see, without the prefix of the fleet's counters. */
  public String counterName() {
    return counterName;
  }
}
