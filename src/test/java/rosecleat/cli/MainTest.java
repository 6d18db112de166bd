package rosecleat.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Invalid command lines and configurations yield one error line and exit code 2. */
class MainTest {
  private static final String EXAMPLE = "deploy/example.json";
  private static final Map<String, String> EXAMPLE_ENVIRONMENT = Map.of("PROXY_CONFIG", EXAMPLE);

  @TempDir Path folder;
  private int files;

  private static void assertRejected(Map<String, String> environment, String... arguments) {
    CommandRun run = CommandRun.with(environment, arguments);
    assertEquals(2, run.exitCode(), run.error());
    assertTrue(
        run.error().startsWith("rosecleat: ") && run.error().strip().lines().count() == 1,
        run.error());
  }

  private String write(String text) throws IOException {
    return Files.writeString(folder.resolve("file" + ++files), text).toString();
  }

  @Test
  void invalidCommandLineYieldsOneErrorLineAndExitCode2() {
    assertRejected(Map.of());
    assertRejected(Map.of(), "dance");
    assertRejected(Map.of(), "serve", "--no-such");
    assertRejected(Map.of(), "serve");
    assertRejected(Map.of("PROXY_CONFIG", "/no/such/file"), "serve");
  }

  @Test
  void invalidNodeConfigurationYieldsOneErrorLineAndExitCode2() throws IOException {
    String good = Files.readString(Path.of(EXAMPLE));
    List<String> unusable =
        List.of(
            "",
            "[]",
            "{",
            good.replace("127.0.0.1:7001", "here"),
            good.replace("\"seed\": \"1f\"", "\"seed\": \"zz\""),
            good.replace("\"stop_ms\": 4000", "\"stop_ms\": 0"),
            good.replace("\"runtime\"", "\"ruin\""),
            good.replace("\"grades\"", "\"grapes\""),
            good.replace("\"token\"", "\"tokens\""));
    for (String text : unusable) {
      assertRejected(Map.of("PROXY_CONFIG", write(text)), "check");
    }
  }

  @Test
  void invalidBrokerFileYieldsOneErrorLineAndExitCode2() throws IOException {
    List<String> unusable =
        List.of(
            "",
            "uwsgi: {}",
            "uwsgi: {listen: '127.0.0.1:0'}",
            "uwsgi: {listen: '127.0.0.1:0'}\ndescriptions: [{openapi: none.yaml}]",
            "uwsgi: {listen: '127.0.0.1:0'}\nservices: {a: {contract: {x: {class: y}}}}");
    for (String text : unusable) {
      assertRejected(EXAMPLE_ENVIRONMENT, "check", "--broker", write(text));
    }
  }

  @Test
  void checkAcceptsDeployedFiles() {
    CommandRun check =
        CommandRun.with(EXAMPLE_ENVIRONMENT, "check", "--broker", "deploy/broker.yaml");
    assertEquals(
        new CommandRun(
            0,
            "configuration of node example is valid, with 4 contracts" + System.lineSeparator(),
            ""),
        check);
  }

  @Test
  void versionHelpAndSchemaPrintToStandardOutput() {
    for (String command : List.of("version", "help", "schema")) {
      CommandRun run = CommandRun.of(command);
      assertEquals(0, run.exitCode());
      assertEquals("", run.error());
      assertTrue(!run.output().isBlank(), command);
    }
  }
}
