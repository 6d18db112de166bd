package rosecleat.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import rosecleat.config.NodeConfig;
import rosecleat.log.Log;

/** SIGHUP, as a process gets it: the virtual machine that runs this test would end on it. */
class ReloadTest {
  @Test void theSignalBringsTheNewFileAndABadOneChangesNothing(@TempDir Path folder) throws Exception {
    String good = Files.readString(Path.of("deploy/example.json"));
    Path file = Files.writeString(folder.resolve("config.json"), good);
    Map<String, String> env = Map.of("PROXY_CONFIG", file.toString());
    BlockingQueue<NodeConfig> taken = new LinkedBlockingQueue<>();
    try (Log log = new Log(System.err)) {
      Reload reload = new Reload(NodeConfig.fromEnvironment(env), () -> NodeConfig.fromEnvironment(env), log);
      reload.install();
      hangUp();
      reload.tell(taken::add); // the signal that came before is made up for, or comes now
      assertEquals(4400, taken.poll(10, TimeUnit.SECONDS).runtime().getPort());
      for (String bad : List.of("", "{", good.replace("4400", "none"), good.replace("\"example\"", "\"other\""),
          good.replace("\"runtime\"", "\"ruin\""))) {
        Files.writeString(file, bad);
        reload.reload();
      }
      assertTrue(taken.isEmpty(), "a configuration that can't be used was taken");
      Files.writeString(file, good.replace("4400", "4401"));
      hangUp();
      assertEquals(4401, taken.poll(10, TimeUnit.SECONDS).runtime().getPort());
    }
  }

  private static void hangUp() throws Exception {
    String pid = Long.toString(ProcessHandle.current().pid());
    assertEquals(0, new ProcessBuilder("sh", "-c", "kill -HUP " + pid).start().waitFor());
  }
}
