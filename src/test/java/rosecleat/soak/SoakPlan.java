package rosecleat.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import rosecleat.soak.Step.Action;

/**
 * The plan of a run, drawn completely from its seed.
 *
 * @param seed the seed
 * @param classes the request classes
 * @param stopMs how long after SIGTERM the platform kills the process
 * @param graceMs how long after SIGTERM arriving requests may still run
 * @param descriptors the limit on file descriptors
 * @param clients the number of connections that send requests concurrently
 * @param pauseMs the mean pause of a client between two requests
 * @param idleClients the number of clients that connect and stay idle
 * @param terminatedInStart whether SIGTERM is sent while the process starts
 * @param registryDownAtStart whether the registry is unavailable when the node starts
 * @param steps the steps in order, always with a SIGTERM
 */
record SoakPlan(
    long seed,
    List<RequestClassPlan> classes,
    int stopMs,
    int graceMs,
    int descriptors,
    int clients,
    int pauseMs,
    int idleClients,
    boolean terminatedInStart,
    boolean registryDownAtStart,
    List<Step> steps) {
  private static final List<String> EFFECTS = List.of("pure", "token", "side_effect");
  private static final List<String> NAMES = List.of("balance-check", "card-refresh", "card-load");

  /** The index of the class whose runs make downstream calls in the fake runtime. */
  private static final int CALLING_CLASS = 1;

  private static final List<Action> FAULTS =
      List.of(
          Action.RELOAD,
          Action.MOVE_RUNTIME,
          Action.MOVE_INDEX_AND_REGISTRY,
          Action.DISCONNECT_RUNTIME,
          Action.DISCONNECT_RUNTIME_LOSING_COMMANDS,
          Action.DISCONNECT_RUNTIME_ENDING_RUNS,
          Action.IGNORE_GAUGE_REQUESTS,
          Action.FAIL_CALLS,
          Action.REGISTRY_DOWN,
          Action.REGISTRY_UP,
          Action.BURST);

  static SoakPlan draw(long seed) {
    Random random = new Random(seed);
    int descriptors = List.of(64, 96, 200, 256).get(random.nextInt(4));
    boolean withIdleClients = random.nextInt(3) == 0;
    int graceMs = between(random, 200, 700);
    boolean terminatedInStart = random.nextInt(8) == 0;
    return new SoakPlan(
        seed,
        classes(random),
        graceMs + between(random, 1_200, 2_500),
        graceMs,
        descriptors,
        between(random, 2, 10),
        between(random, 5, 40),
        withIdleClients ? between(random, descriptors / 4, 2 * descriptors) : 0,
        terminatedInStart,
        random.nextInt(4) == 0,
        terminatedInStart ? stepsInStart(random) : steps(random));
  }

  private static int between(Random random, int min, int max) {
    return min + random.nextInt(max - min + 1);
  }

  private static List<RequestClassPlan> classes(Random random) {
    List<RequestClassPlan> classes = new ArrayList<>();
    for (int i = 0; i < NAMES.size(); i++) {
      classes.add(
          new RequestClassPlan(
              NAMES.get(i),
              EFFECTS.get(random.nextInt(EFFECTS.size())),
              i == CALLING_CLASS,
              between(random, 500, 1_500),
              between(random, 2_000, 6_000),
              between(random, 2, 60)));
    }
    return List.copyOf(classes);
  }

  /** Draws one or two SIGTERMs while the process starts. */
  private static List<Step> stepsInStart(Random random) {
    List<Step> steps = new ArrayList<>();
    steps.add(new Step(between(random, 200, 900), Action.TERMINATE));
    if (random.nextBoolean()) {
      steps.add(new Step(between(random, 0, 100), Action.TERMINATE));
    }
    return List.copyOf(steps);
  }

  /** Draws some faults, SIGTERM and more faults; in some runs also a takeover. */
  private static List<Step> steps(Random random) {
    List<Step> steps = new ArrayList<>();
    boolean takeover = random.nextInt(4) == 0;
    int before = random.nextInt(7); // With 0, SIGTERM may reach a node that has just started.
    for (int i = 0; i < before; i++) {
      steps.add(new Step(between(random, 0, 400), draw(random)));
    }
    if (takeover) {
      steps.add(new Step(0, Action.START_SUCCESSOR));
    }
    if (takeover && random.nextInt(3) == 0) {
      steps.add(new Step(between(random, 0, 200), Action.TERMINATE_SUCCESSOR));
    }
    steps.add(new Step(between(random, 0, before == 0 ? 100 : 400), Action.TERMINATE));
    for (int i = random.nextInt(4); i > 0; i--) {
      Action action = random.nextInt(3) == 0 ? Action.TERMINATE : draw(random);
      steps.add(new Step(between(random, 0, 300), action));
    }
    return List.copyOf(steps);
  }

  private static Action draw(Random random) {
    return FAULTS.get(random.nextInt(FAULTS.size()));
  }
}
