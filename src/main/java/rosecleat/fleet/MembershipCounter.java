package rosecleat.fleet;

/** The events that the protocol counts, each with the name that operators see. */
public enum MembershipCounter {
  /** A message that could not be decoded, or an update out of bounds. */
  MALFORMED_MESSAGE("garbage"),
  /** A message of another cluster. */
  FOREIGN_CLUSTER("foreign"),
  /** A message that this process sent to itself under another address. */
  OWN_MESSAGE("own"),
  /** A ping for another start of a process at this address. */
  PING_FOR_OTHER_START("ping.other"),
  /** A request for an indirect probe that was rejected. */
  PING_REQUEST_REJECTED("request.refused"),
  /** A probe that was not begun since too many are outstanding. */
  PROBES_FULL("probes.full"),
  /** A probe without any answer. */
  PROBE_FAILED("probe.failed"),
  /** A member that became suspected. */
  SUSPECTED("suspected"),
  /** A member that was declared dead here, after its suspicion timed out. */
  DECLARED_DEAD("dead"),
  /** A member that others declared dead. */
  REPORTED_DEAD("told.dead"),
  /** A member that left gracefully. */
  LEFT("left"),
  /** A member that refuted a suspicion. */
  REFUTED("refuted"),
  /** A member that was dead or had left, and is alive again. */
  RETURNED("back"),
  /** A member that joined. */
  JOINED("joined"),
  /** A member that was dropped since the member list is full. */
  MEMBERS_FULL("members.full"),
  /** An earlier start that a later one at the same address has replaced. */
  REPLACED("replaced"),
  /** A suspicion or death of this process that it refuted. */
  SELF_REFUTED("refutes"),
  /** Another process with this process's name and epoch. */
  EPOCH_CONFLICT("twin.epoch"),
  /** An earlier start of this process has the later epoch. */
  EPOCH_BEHIND("epoch.behind"),
  /** Another process with this process's name. */
  NAME_CONFLICT("twins"),
  /** Timers that ran late by half a period or more. */
  TIMER_LATE("late"),
  /** Half of the fleet or more is gone. */
  PARTITION_SUSPECTED("cut"),
  /** Most of the fleet is there again. */
  PARTITION_HEALED("mended"),
  /** A record of this process that exceeds a limit. */
  RECORD_REJECTED("record.refused"),
  /** A record of another process that was stored. */
  RECORD_STORED("record.taken"),
  /** A record under this process's name that it did not write. */
  RECORD_FORGED("record.false");

  private final String counterName;

  MembershipCounter(String counterName) {
    this.counterName = counterName;
  }

  /** The name that operators see, after the prefix of the fleet's counters. */
  public String counterName() {
    return counterName;
  }
}
