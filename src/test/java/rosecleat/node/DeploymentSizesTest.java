package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Core;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;

/**
 * Deployments of various sizes: each starts, serves every class of its first and last tenant, and
 * ends.
 */
class DeploymentSizesTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private int lastTag;

  private static NodeConfig config(
      int runtime,
      int index,
      int classes,
      int tenants,
      int servers,
      int callers,
      double callsOut,
      int sockets)
      throws Exception {
    ObjectNode root =
        (ObjectNode)
            JSON.readTree(TestSite.config(runtime, index, 0, 2_000, 500).source().toString());
    ((ObjectNode) root.path("limits")).put("sockets", sockets);
    ObjectNode settings = (ObjectNode) root.path("settings");
    settings.put("servers", servers).remove("zones");
    ObjectNode extra = (ObjectNode) settings.path("extra");
    extra.put("calls-out", callsOut).put("clients-total", callers);
    ArrayNode grades = settings.putArray("grades");
    ArrayNode calls = extra.putArray("class-calls");
    ArrayNode without = extra.putArray("worth-without");
    for (int i = 0; i < classes; i++) {
      grades
          .addObject()
          .put("name", name(i))
          .put("credit", 1)
          .put("deadline-us", 3_000_000)
          .put("effect", i % 2 == 1 ? "token" : "pure")
          .put("promise-us", 2_000_000)
          .put("window-us", 4_000_000);
      calls.add(i == 0);
      without.add(0);
    }
    ArrayNode parties = settings.putArray("parties");
    for (int i = 0; i < tenants; i++) {
      parties.addObject().put("name", "tenant-" + i).put("quota-per-s", 1);
    }
    return NodeConfigReader.parse(root.toString(), Map.of());
  }

  private static String name(int classIndex) {
    // Runs of the name card-refresh make a call in the fake runtime.
    return classIndex == 0 ? "card-refresh" : "class-" + classIndex;
  }

  @ParameterizedTest
  @CsvSource({
    "1, 1, 1, 1, 0.2, 1024",
    "1100, 1500, 2000, 5000, 0.2, 1024",
    "40, 2, 300, 50, 500, 4096",
    "4, 5, 93, 46, 0.91, 512",
    "2, 1, 120, 1, 0.2, 64",
    "3, 1500, 1, 1, 500, 32"
  })
  void deploymentOfThisSizeStartsAndServes(
      int classes, int tenants, int servers, int callers, double callsOut, int sockets)
      throws Exception {
    try (Log log = new Log(System.err);
        FakeIndex index = new FakeIndex();
        FakeRuntime runtime = new FakeRuntime(1)) {
      NodeConfig config =
          config(
              runtime.port(), index.port(), classes, tenants, servers, callers, callsOut, sockets);
      assertTrue(JitWarmup.run(config) > 0);
      try (Node node = new Node(ProcessConfig.of(config), NodeEnvironment.standalone(log))) {
        node.start();
        NodeProbe.await(() -> NodeProbe.ask(node, Core::ready));
        try (RespClient client = new RespClient(node.port(), null)) {
          serveEachClass(client, classes, "tenant-0", callers);
          serveEachClass(client, classes, "tenant-" + (tenants - 1), callers);
        }
      }
    }
  }

  /** Sends a request of each class, or of about 20 classes if there are more. */
  private void serveEachClass(RespClient client, int classes, String tenant, int callers)
      throws Exception {
    for (int index = 0; index < classes; index += Math.max(1, classes / 20)) {
      lastTag++;
      String key = index % 2 == 1 ? ",once=" + "%032x".formatted(lastTag) : "";
      client.send(
          RespClient.array(
              "DO",
              String.valueOf(lastTag),
              name(index),
              "id=%016x,at=%d,from=%d,tenant=%s,"
                      .formatted(lastTag, System.currentTimeMillis(), callers, tenant)
                  + "wait=2900,kb=2,rank=0.5"
                  + key,
              "b"));
      List<String> answer = client.answer();
      assertEquals("OK", answer.get(1), "class " + index + " of " + tenant + ": " + answer);
    }
  }
}
