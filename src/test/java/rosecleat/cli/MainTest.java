package rosecleat.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: what can't be used ends with one plain line and exit code 2. */
class MainTest {
  private static final String EXAMPLE = "deploy/example.json";
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(Map<String, String> env, String... args) {
    PrintStream before = System.err;
    System.setErr(new PrintStream(err, true));
    try {
      return Main.run(args, env, new ByteArrayInputStream(new byte[0]), out);
    } finally {
      System.setErr(before);
    }
  }

  private void refused(Map<String, String> env, String... args) {
    err.reset();
    assertEquals(2, run(env, args));
    String line = err.toString();
    assertTrue(line.startsWith("rosecleat: ") && line.strip().lines().count() == 1, line);
  }

  @Test
  void wrongWordsAndFilesEndWithOneLine(@TempDir Path folder) throws IOException {
    refused(Map.of());
    refused(Map.of(), "dance");
    refused(Map.of(), "serve", "--no-such");
    refused(Map.of(), "serve");
    refused(Map.of("PROXY_CONFIG", "/no/such/file"), "serve");
    String good = Files.readString(Path.of(EXAMPLE));
    int round = 0;
    for (String bad :
        new String[] {
          "",
          "[]",
          "{",
          good.replace("127.0.0.1:7001", "here"),
          good.replace("\"seed\": \"1f\"", "\"seed\": \"zz\""),
          good.replace("\"stop_ms\": 4000", "\"stop_ms\": 0"),
          good.replace("\"runtime\"", "\"ruin\""),
          good.replace("\"grades\"", "\"grapes\""),
          good.replace("\"token\"", "\"tokens\"")
        }) {
      Path file = Files.writeString(folder.resolve("bad" + ++round), bad);
      refused(Map.of("PROXY_CONFIG", file.toString()), "check");
    }
    for (String bad :
        new String[] {
          "",
          "uwsgi: {}",
          "uwsgi: {listen: '127.0.0.1:0'}",
          "uwsgi: {listen: '127.0.0.1:0'}\ndescriptions: [{openapi: none.yaml}]",
          "uwsgi: {listen: '127.0.0.1:0'}\nservices: {a: {contract: {x: {class: y}}}}"
        }) {
      Path file = Files.writeString(folder.resolve("broker" + ++round), bad);
      refused(Map.of("PROXY_CONFIG", EXAMPLE), "check", "--broker", file.toString());
    }
  }

  @Test
  void theFilesUnderDeployCanBeUsed() {
    assertEquals(
        0,
        run(Map.of("PROXY_CONFIG", EXAMPLE), "check", "--broker", "deploy/broker.yaml"),
        err.toString());
    assertTrue(out.toString().contains("its 4 contracts"), out.toString());
    assertEquals(0, run(Map.of(), "version"));
    assertEquals(0, run(Map.of(), "help"));
    assertEquals("", err.toString());
  }
}
