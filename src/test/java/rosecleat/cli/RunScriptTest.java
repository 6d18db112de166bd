package rosecleat.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs the `run` command of deploy/balancer.toml where no other program is on the path. The node's
 * environment may refuse forks, so the command must replace itself with java by exec and must not
 * start any child process.
 */
class RunScriptTest {
  // field 11 of /proc/PID/stat counts the page faults of children that the process has waited for,
  // and exec does not reset it
  private static final String JAVA =
      "#!/bin/sh\nread -r a b c d e f g h i j faults rest < /proc/$$/stat\n"
          + "echo \"$$ $faults\"\nfor word; do echo \"$word\"; done\n";

  @TempDir Path folder;

  private List<String> run(String config) throws Exception {
    Path java = folder.resolve("java");
    Files.writeString(java, JAVA);
    assertTrue(java.toFile().setExecutable(true));
    Path file = folder.resolve("config.json");
    Files.writeString(file, config);
    String command =
        Files.readString(Path.of("deploy/balancer.toml"))
            .replaceAll("(?s).*\nrun = \"(.*?)\".*", "$1");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).redirectErrorStream(true);
    builder.environment().put("PATH", folder.toString());
    builder.environment().put("PROXY_CONFIG", file.toString());
    Process process = builder.start();
    List<String> lines =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .toList();
    assertEquals(0, process.waitFor(), lines.toString());
    assertEquals(
        process.pid() + " 0",
        lines.get(0),
        "another process than the started one, or a child process was started");
    return lines;
  }

  @ParameterizedTest
  @CsvSource({"192, 40", "96, 16", "64, 12", "1, 12", "4096, 40"})
  void runExecsOneProcessWithHeapDerivedFromMemoryLimit(int memory, int heap) throws Exception {
    List<String> lines =
        run(
            "{\"name\":\"n\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memory
                + ",\"sockets\":9}}");
    assertTrue(lines.contains("-Xmx" + heap + "m"), lines.toString());
    assertEquals("serve", lines.get(lines.size() - 1));
  }

  @Test
  void memoryLimitIsReadFromAnyJsonLayoutAndHasDefault() throws Exception {
    assertTrue(run("{\n  \"limits\": {\n    \"memory_mb\" : 96\n  }\n}\n").contains("-Xmx16m"));
    assertTrue(run("{}").contains("-Xmx40m"));
  }
}
