package rosecleat.fakes;

import java.util.Map;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;

/**
 * The configuration of a small site: two tenants, a read, a read that makes downstream calls, and a
 * keyed write.
 */
public final class TestSite {
  public static final int CORES = 2;

  /** The mean number of outstanding downstream calls that is allowed. */
  public static final int CALLS_OUT = 50;

  /** The latency objective of each class (ms). */
  public static final int OBJECTIVE_MS = 800;

  private TestSite() {}

  /** Returns a node's configuration; a port of 0 omits that system. */
  public static NodeConfig config(int runtime, int index, int roster, int stopMs, int graceMs) {
    return config(runtime, index, roster, stopMs, graceMs, false);
  }

  /**
   * Like the other method; {@code keyedCalls} states whether keyed writes make downstream calls.
   */
  public static NodeConfig config(
      int runtime, int index, int roster, int stopMs, int graceMs, boolean keyedCalls) {
    String text =
        """
        {"name":"t1","listen":"127.0.0.1:0",%s%s%s"seed":"2a","stop_ms":%d,"limits":{"sockets":1024},
         "settings":{
          "bounds":{"max-retry-after-us":1000000,"retry-after":true},"clients":{"marks-retry":true},
          "extra":{"below":"shared","calls-out":%d,"calls-over-us":5000000,"class-calls":[false,true,%b],
           "clients-total":2,"cold":false,"cpus":%d,"gauges":["core_use","on_cores","heap_share","links"],
           "halt":"drop","heeded-us":1000000,"idle-us":30000000,"key-kb":20,"lingers-us":200000,
           "mem-limit-kb":200000,"passes-deadline":true,"run-factor":4,"say":"credit","tells-gone":true,
           "worth-without":[0,0.3,0]},
          "grades":[
           {"credit":1,"deadline-us":1200000,"effect":"pure","name":"balance-check","promise-us":800000},
           {"credit":1,"deadline-us":1200000,"effect":"pure","name":"card-refresh","promise-us":800000},
           {"credit":1,"deadline-us":1200000,"effect":"token","name":"card-load","promise-us":800000,
            "window-us":4000000}],
          "parties":[{"name":"big","quota-per-s":50},{"name":"small","quota-per-s":50}],
          "over-share-worth":0.05,"servers":1,"round-us":4000,
          "rules":{"answer-slack-us":80000,"cold-share":0.3,"fall-multiple":8,"overload-for-us":2000000,
           "ramp-time-us":5000000,"stop-sending-within-us":%d}}}
        """
            .formatted(
                address("runtime", runtime),
                address("index", index),
                address("roster", roster),
                stopMs,
                CALLS_OUT,
                keyedCalls,
                CORES,
                graceMs * 1000);
    return NodeConfigReader.parse(text, Map.of());
  }

  /** Returns the configuration with another effect of the class {@code balance-check}. */
  public static NodeConfig withEffect(NodeConfig config, String effect) {
    String pure = "\"effect\":\"pure\",\"name\":\"balance-check\"";
    String text = config.source().toString();
    if (!text.contains(pure)) {
      throw new IllegalArgumentException(
          "balance-check is not a pure class in this configuration: " + text);
    }
    return NodeConfigReader.parse(text.replace(pure, pure.replace("pure", effect)), Map.of());
  }

  private static String address(String name, int port) {
    return port == 0 ? "" : "\"" + name + "\":\"127.0.0.1:" + port + "\",";
  }
}
