package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.config.NodeConfigReader;
import rosecleat.log.Log;

/** Reloading on a real SIGHUP, which by default would terminate the JVM that runs this test. */
class ConfigReloaderTest {
  @Test
  void signalAppliesAValidFileAndAnInvalidFileChangesNothing(@TempDir Path folder)
      throws Exception {
    String good = Files.readString(Path.of("deploy/example.json"));
    Path file = Files.writeString(folder.resolve("config.json"), good);
    Map<String, String> env = Map.of("PROXY_CONFIG", file.toString());
    BlockingQueue<ProcessConfig> applied = new LinkedBlockingQueue<>();
    try (Log log = new Log(System.err)) {
      ConfigReloader reload = new ConfigReloader(read(env), () -> read(env), log);
      reload.install();
      sendHangupSignal();
      reload.setListener(applied::add); // the first signal is handled here if it arrived earlier
      assertEquals(4400, applied.poll(10, TimeUnit.SECONDS).node().runtimeAddress().getPort());
      for (String bad :
          List.of(
              "",
              "{",
              good.replace("4400", "none"),
              good.replace("\"example\"", "\"other\""),
              good.replace("\"runtime\"", "\"ruin\""),
              good.substring(0, good.length() / 2),
              good + "}",
              good.replace("\"deadline-us\": 3400000", "\"deadline-us\": -5"),
              good.replace("\"deadline-us\": 3400000", "\"deadline-us\": \"3400000\""),
              good.replace("\"deadline-us\": 3400000", "\"deadline-us\": 0"),
              good.replace("\"deadline-us\": 3400000", "\"deadline\": 1"),
              good.replace("\"card-status\"", "\"card-refresh\""),
              good.replace("\"lingers-us\": 200000,", ""),
              good.replace("[true, false, true, true]", "[true, false, true]"),
              good.replace("\"quota-per-s\": 60", "\"quota-per-s\": \"many\""),
              good.replace("\"cores\": 1.0, ", ""),
              good.replace("\"memory_mb\": 192", "\"memory_mb\": null"))) {
        assertFalse(bad.equals(good));
        Files.writeString(file, bad);
        reload.reload();
      }
      assertTrue(applied.isEmpty(), "an invalid configuration was applied");
      Files.writeString(file, good.replace("4400", "4401"));
      sendHangupSignal();
      assertEquals(4401, applied.poll(10, TimeUnit.SECONDS).node().runtimeAddress().getPort());
    }
  }

  private static ProcessConfig read(Map<String, String> env) {
    return ProcessConfig.of(NodeConfigReader.fromEnvironment(env));
  }

  private static void sendHangupSignal() throws Exception {
    String pid = Long.toString(ProcessHandle.current().pid());
    assertEquals(0, new ProcessBuilder("sh", "-c", "kill -HUP " + pid).start().waitFor());
  }
}
