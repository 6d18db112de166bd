package rosecleat.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * Handles updates on this process and on its name: refutes a suspicion or death with a greater
 * incarnation, and adopts a later epoch if another start has the same or a greater one.
 */
final class SelfUpdateHandler {
  private static final int MAX_NAME_CONFLICTS = 64;

  /**
   * The greatest increment to a new epoch; a random one makes it unlikely that the other process,
   * which changes its epoch too, chooses the same.
   */
  private static final int MAX_EPOCH_INCREMENT = 1_000;

  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final RecordReplicator records;
  private final LocalHealth localHealth;
  private final Set<MemberId> nameConflicts = new HashSet<>();

  SelfUpdateHandler(
      ProtocolContext context,
      Dissemination dissemination,
      RecordReplicator records,
      LocalHealth localHealth) {
    this.context = context;
    this.dissemination = dissemination;
    this.records = records;
    this.localHealth = localHealth;
  }

  /** Announces a change of this process itself under a greater incarnation. */
  void announce(Runnable change, long nowUs) {
    Member self = context.self();
    context
        .members()
        .change(
            self,
            () -> {
              change.run();
              self.incarnation++;
            });
    dissemination.broadcast(self, nowUs);
  }

  /** Handles an update on this start of the process. */
  void onUpdateOfSelf(MemberUpdate update, long nowUs) {
    Member self = context.self();
    if (!update.endpoint().equals(self.endpoint)
        && update.state().isActive()
        && update.incarnation() >= self.incarnation) {
      context.effects().count(MembershipCounter.EPOCH_CONFLICT);
      changeEpoch(self.id.epoch() + 1 + context.random().nextInt(MAX_EPOCH_INCREMENT), nowUs);
      return;
    }
    boolean outdated =
        update.state() == MemberState.ALIVE
            ? update.incarnation() <= self.incarnation
            : update.incarnation() < self.incarnation;
    if (outdated || context.isLeaving()) {
      return;
    }
    if (update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD) {
      localHealth.adjust(1);
      context.effects().count(MembershipCounter.SELF_REFUTED);
    }
    context.members().change(self, () -> self.incarnation = update.incarnation() + 1);
    dissemination.broadcast(self, nowUs);
  }

  /** Handles an update on another start under this process's name. */
  void onUpdateOfSameName(MemberUpdate update, long nowUs) {
    Member self = context.self();
    if (update.endpoint().equals(self.endpoint)) {
      if (update.id().epoch() > self.id.epoch()) {
        // the clock was set back since an earlier start; this start must have the later epoch
        context.effects().count(MembershipCounter.EPOCH_BEHIND);
        changeEpoch(update.id().epoch() + 1, nowUs);
      }
      return;
    }
    Member known = context.members().get(update.id());
    if (update.state().isActive()
        && (known == null || known.state.isActive())
        && nameConflicts.size() < MAX_NAME_CONFLICTS
        && nameConflicts.add(update.id())) {
      reportNameConflict(update);
    }
  }

  private void reportNameConflict(MemberUpdate other) {
    context.effects().count(MembershipCounter.NAME_CONFLICT);
    context
        .effects()
        .warn(
            "another process is named "
                + other.id().name()
                + ", at "
                + other.endpoint()
                + " (epoch "
                + other.id().epoch()
                + ", this process has "
                + context.self().id.epoch()
                + "): both stay separate members");
  }

  /** Allows a name conflict to be reported again once the other process has been removed. */
  void clearNameConflict(MemberId id) {
    nameConflicts.remove(id);
  }

  private void changeEpoch(long epoch, long nowUs) {
    MemberId former = context.self().id;
    context.changeEpoch(epoch, nowUs);
    dissemination.discard(former);
    dissemination.broadcast(context.self(), nowUs);
    records.republish(former.epoch(), nowUs);
    context.effects().info("identity of this process changed to " + context.self().id);
    context.effects().viewChanged();
  }
}
