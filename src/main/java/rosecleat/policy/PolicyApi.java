package rosecleat.policy;

import java.util.List;

/**
 * The module's interface: what a server tells {@link Policy} and what it is told back.
 *
 * <p>The methods of this interface are the events. The host calls them from one thread, in the
 * order things happened, with the time in microseconds on a clock that never goes back. {@link
 * Actions} are called back before the event returns. All times and spans are microseconds, all
 * sizes kilobytes. Nothing here decides anything.
 */
public interface PolicyApi {

  /** The process has started; comes once, before any other event. */
  void begin(long now);

  /**
   * The settings have changed; a number of a class or tenant means what it meant, but for the
   * classes {@code renamed}. What is in hand keeps the class it came with.
   */
  void retuned(long now, Settings settings, List<Integer> renamed);

  /** A request has been read and is held; one final answer is owed. */
  void arrived(long now, Request request);

  /** A run (or a reuse) has ended, {@code tookUs} after the action that started it. */
  void ended(long now, long id, Outcome outcome, long tookUs);

  /**
   * A running request stands still until its call below is made, skipped, or the request is failed.
   */
  void needsCall(long now, long id);

  /** A call below has ended, {@code tookUs} after it was made. */
  void called(long now, long id, Outcome outcome, long tookUs);

  /** The caller has gone; no answer is owed any more. */
  void gone(long now, long id);

  /**
   * A timer asked for with {@link Actions#wake} has come. The gauges object may be reused by the
   * host.
   */
  void woken(long now, long tag, Gauges gauges);

  /** Notice to leave: the process is stopped {@code leftUs} from now. */
  void drain(long now, long leftUs);

  /** What the host does for the module. Each refers to this server alone. */
  interface Actions {
    /** Start a held request, or carry on a paused one. */
    void run(long id);

    /** Final answer: turned away, this try never ran. */
    void refuse(long id, long holdOffUs, boolean last);

    /** Final answer: failed, nothing promised. */
    void fail(long id);

    /** Stop running work, as {@link Settings#halt} says. */
    void halt(long id);

    /** Make the call the request waits for; it is given up at the clock time {@code untilUs}. */
    void call(long id, long untilUs);

    /** Go on without the call. */
    void skipCall(long id);

    /** Put the request in the table of keys for so long from now. */
    void keep(long id, long forUs);

    /** Take the request's entry out of the table. */
    void forget(long id);

    /** Answer a held request from the result of the one it repeats. */
    void reuse(long id);

    /** What health checks hear from now on. */
    void health(boolean good, boolean fromStore);

    /** The value that goes with each answer, as {@link Settings#say} says. */
    void say(double value);

    /** Close connections unused for so long; 0 is the longest. */
    void idle(long us);

    /** Ask for {@link #woken} so long from now. */
    void wake(long inUs, long tag);

    /** A line for the people on call. */
    void log(String line);
  }

  /** How a run or a call ended. */
  enum Outcome {
    /** It worked. */
    OK,
    /** It failed; an effect may have happened. */
    ERROR,
    /** Refused without being seen: proves it never ran. */
    FULL,
    /** Given up; may have taken effect. */
    TIMEOUT,
    /** Nothing was reached: proves it never ran. */
    UNREACHED,
    /** Cut off; may have taken effect. */
    RESET,
    /** The run was halted, or ended at a call after its answer. */
    HALTED,
    /** Nothing was started, the request was already over. */
    MOOT
  }

  /** What a class's requests do when run twice. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /**
   * What a halt does: nothing is halted, work is lost and the request held again, or work is
   * paused.
   */
  enum Halt {
    OFF,
    DROP,
    PAUSE
  }

  /** What callers make of the value that goes with answers. */
  enum Say {
    OFF,
    LEVEL,
    CREDIT,
    WEIGHT
  }

  /** What lies below this server. */
  enum Below {
    OFF,
    SHARED,
    TIER
  }

  /** A class of requests. */
  record Klass(
      double worth,
      double lateWorth,
      long aimUs,
      double aimStretch,
      long dueUs,
      Effect effect,
      long windowUs,
      boolean calls,
      double worthWithoutCall) {}

  /** A tenant: its requests a second within its share, over all servers. */
  record Tenant(double quotaPerS) {}

  /** What a server is told at its start. */
  record Settings(
      int cores,
      int servers,
      int callers,
      boolean cold,
      double coldShare,
      long warmUs,
      double memoryKb,
      double runFactor,
      double keyKb,
      double fallMultiple,
      long fallSpanUs,
      long graceUs,
      long slackUs,
      boolean passesDeadline,
      boolean tellsGone,
      boolean marksRetry,
      boolean worthByWork,
      double overShareWorth,
      Halt halt,
      Say say,
      long heededUs,
      long maxHoldOffUs,
      boolean readiness,
      boolean deepChecks,
      long idleUs,
      long shareReadsUs,
      Below below,
      double callsOut,
      long callsSpanUs,
      long callLingerUs,
      long roundUs,
      List<Klass> classes,
      List<Tenant> tenants) {
    /** The same for a server that starts cold, or warm. */
    public Settings withCold(boolean starting) {
      return with(starting, classes, tenants);
    }

    /** The same with these classes and tenants. */
    public Settings with(List<Klass> allClasses, List<Tenant> allTenants) {
      return with(cold, allClasses, allTenants);
    }

    /**
     * The same for one of several processes on this server, which together must keep to its limits.
     */
    public Settings within(double partMemoryKb, double partFallMultiple, double partCallsOut) {
      return new Settings(
          cores,
          servers,
          callers,
          cold,
          coldShare,
          warmUs,
          partMemoryKb,
          runFactor,
          keyKb,
          partFallMultiple,
          fallSpanUs,
          graceUs,
          slackUs,
          passesDeadline,
          tellsGone,
          marksRetry,
          worthByWork,
          overShareWorth,
          halt,
          say,
          heededUs,
          maxHoldOffUs,
          readiness,
          deepChecks,
          idleUs,
          shareReadsUs,
          below,
          partCallsOut,
          callsSpanUs,
          callLingerUs,
          roundUs,
          classes,
          tenants);
    }

    private Settings with(boolean starting, List<Klass> allClasses, List<Tenant> allTenants) {
      return new Settings(
          cores,
          servers,
          callers,
          starting,
          coldShare,
          warmUs,
          memoryKb,
          runFactor,
          keyKb,
          fallMultiple,
          fallSpanUs,
          graceUs,
          slackUs,
          passesDeadline,
          tellsGone,
          marksRetry,
          worthByWork,
          overShareWorth,
          halt,
          say,
          heededUs,
          maxHoldOffUs,
          readiness,
          deepChecks,
          idleUs,
          shareReadsUs,
          below,
          callsOut,
          callsSpanUs,
          callLingerUs,
          roundUs,
          allClasses,
          allTenants);
    }
  }

  /**
   * A request as it was read. {@code leftUs}, {@code hintUs}, {@code key} and {@code original} are
   * 0 where absent; {@code ageUs} counts from its coming to the machine.
   */
  record Request(
      long id,
      int klass,
      int tenant,
      long key,
      long leftUs,
      long hintUs,
      double heldKb,
      double rank,
      boolean retry,
      boolean write,
      long caller,
      long ageUs,
      long original) {}

  /**
   * What a module has learnt that holds beyond the moment, by numbers of classes and tenants: run
   * times alone on the cores (us) and the runs they rest on; the usual length of a call (us) and
   * the calls; its limits on runs and on calls out, 0 for one that is not known; the tenants' parts
   * of the arrivals, and the arrivals they rest on.
   */
  record Learnt(
      double[] runUs,
      int[] runs,
      double callUs,
      int calls,
      double limit,
      double callLimit,
      double[] parts,
      double arrivals) {}

  /** The server's gauges; one that is not offered is negative. */
  final class Gauges {
    /** Share of the cores busy of late. */
    public double coreUse = -1;

    /** All that wants a core right now. */
    public double onCores = -1;

    /** Share of the memory in use. */
    public double memory = -1;

    /** Connections open. */
    public double connections = -1;
  }
}
