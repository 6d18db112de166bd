package rosecleat.soak;

import java.util.List;
import java.util.stream.Collectors;

/** The configuration of the node in a run, in the platform's format. */
final class SoakConfig {
  /** The time after its due time up to which an answer is still valid (ms), as in the settings. */
  static final int ANSWER_SLACK_MS = 80;

  private SoakConfig() {}

  static String text(SoakPlan plan, int listen, int runtime, int index, int registry) {
    List<RequestClassPlan> classes = plan.classes();
    return """
    {"name":"s1","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","index":"127.0.0.1:%d",
     "roster":"127.0.0.1:%d","seed":"%x","stop_ms":%d,"limits":{"sockets":%d},
     "settings":{
      "bounds":{"max-retry-after-us":1000000,"retry-after":true},"clients":{"marks-retry":true},
      "extra":{"below":"shared","calls-out":20,"calls-over-us":5000000,"class-calls":[%s],
       "clients-total":4,"cold":false,"cpus":2,"gauges":["core_use","on_cores","heap_share","links"],
       "halt":"drop","heeded-us":1000000,"idle-us":30000000,"key-kb":20,"lingers-us":200000,
       "mem-limit-kb":200000,"passes-deadline":true,"run-factor":4,"say":"credit","tells-gone":true,
       "worth-without":[%s]},
      "grades":[%s],
      "parties":[{"name":"big","quota-per-s":50},{"name":"small","quota-per-s":50}],
      "over-share-worth":0.05,"servers":1,"round-us":4000,
      "rules":{"answer-slack-us":%d,"cold-share":0.3,"fall-multiple":8,"overload-for-us":2000000,
       "ramp-time-us":5000000,"stop-sending-within-us":%d}}}
    """
        .formatted(
            listen,
            runtime,
            index,
            registry,
            plan.seed(),
            plan.stopMs(),
            plan.descriptors(),
            classes.stream().map(c -> "" + c.calls()).collect(Collectors.joining(",")),
            classes.stream().map(c -> c.calls() ? "0.3" : "0").collect(Collectors.joining(",")),
            classes.stream().map(SoakConfig::grade).collect(Collectors.joining(",")),
            1_000 * ANSWER_SLACK_MS,
            1_000 * plan.graceMs());
  }

  private static String grade(RequestClassPlan plan) {
    return """
    {"credit":1,"deadline-us":%d,"effect":"%s","name":"%s","promise-us":%d%s}
    """
        .formatted(
            1_000 * plan.deadlineMs(),
            plan.effect(),
            plan.name(),
            700 * plan.deadlineMs(),
            plan.keyed() ? ",\"window-us\":" + 1_000 * plan.windowMs() : "");
  }
}
