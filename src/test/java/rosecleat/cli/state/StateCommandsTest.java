package rosecleat.cli.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.cli.CommandRun;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.state.FactStateFactory;
import rosecleat.state.StateFiles;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;

/** Output and exit codes of state show, state verify and state compact. */
class StateCommandsTest {
  @TempDir Path temp;
  private Path folder;
  private CommandRun last;

  @BeforeEach
  void fill() throws IOException {
    folder = temp.resolve("kept");
    long now = System.currentTimeMillis() * 1000;
    for (int i = 0; i < 20; i++) {
      StateFiles.append(
          folder, "n1", new Fact(FactKind.RUN_TIME, "read", 20_000 + i, 8, now - 60_000_000, "t"));
    }
  }

  private int run(String... arguments) {
    last = CommandRun.of(arguments);
    return last.exitCode();
  }

  private JsonNode json() throws IOException {
    return new ObjectMapper().readTree(last.output());
  }

  private void damage() throws IOException {
    Path log = folder.resolve("log-1");
    byte[] bytes = Files.readAllBytes(log);
    bytes[50] ^= 1;
    Files.write(log, bytes);
  }

  @Test
  void showListsFactsWithValueAndAge() throws IOException {
    assertEquals(0, run("state", "show", folder.toString()));
    assertTrue(
        last.output().contains("run-time") && last.output().contains("2.002e+04"), last.output());
    assertEquals(0, run("state", "show", "--json", folder.toString()));
    JsonNode fact = json().path("facts").get(0);
    assertEquals(20_019, fact.path("value").asDouble());
    assertEquals(60, fact.path("age_s").asDouble(), 30);
  }

  @Test
  void verifyReportsConditionAndPositionOfDamage() throws IOException {
    assertEquals(0, run("state", "verify", folder.toString()));
    assertTrue(last.output().contains("is whole"), last.output());
    damage();
    assertEquals(3, run("state", "verify", folder.toString()));
    assertTrue(last.output().contains("damage: log-1 at byte 40"), last.output());
    assertEquals(3, run("state", "verify", "--json", folder.toString()));
    assertEquals("damaged", json().path("state").asText());
    assertEquals(2, run("state", "verify", temp.resolve("none").toString()));
    assertTrue(
        last.error().contains("state folder " + temp.resolve("none") + " does not exist"),
        last.error());
    assertEquals(2, run("state", "show", "--json", temp.resolve("none").toString()));
    assertTrue(
        json()
            .path("error")
            .asText()
            .contains("state folder " + temp.resolve("none") + " does not exist"));
    Files.createDirectory(temp.resolve("bare"));
    assertEquals(0, run("state", "verify", temp.resolve("bare").toString()));
    assertTrue(last.output().contains("is empty"), last.output());
  }

  @Test
  void compactShrinksFolderAndPreservesFactsButFailsIfLockedByRunningNode() throws IOException {
    assertEquals(0, run("state", "compact", "--json", folder.toString()));
    assertTrue(json().path("after").asLong() < json().path("before").asLong(), last.output());
    assertEquals(0, run("state", "show", "--json", folder.toString()));
    assertEquals(20_019, json().path("facts").get(0).path("value").asDouble());
    OpenResult open =
        RecordStore.open(
            FileSystemDirectory.openExisting(folder),
            new FactStateFactory(),
            new RecordStore.Limits(1 << 20, 8, 1 << 20),
            line -> {});
    try (RecordStore store = assertInstanceOf(OpenResult.Opened.class, open).store()) {
      assertEquals(2, run("state", "compact", folder.toString()));
      assertTrue(
          last.error()
              .contains(
                  "state folder "
                      + folder
                      + " is locked by another process, usually the running node"),
          last.error());
      assertEquals(0, store.metrics().failures());
    }
  }

  @Test
  void compactOfDamagedFolderQuarantinesDamagedFiles() throws IOException {
    damage();
    assertEquals(3, run("state", "compact", folder.toString()));
    assertTrue(last.output().contains("set aside"), last.output());
    assertEquals(0, run("state", "verify", folder.toString()));
    String[] aside = folder.toFile().list((in, name) -> name.startsWith("damaged-"));
    assertEquals(4, aside.length, "number of quarantined files");
    assertTrue(
        Arrays.stream(aside).anyMatch(name -> name.endsWith("-log-1")),
        "the damaged file is quarantined");
  }

  @Test
  void helpPrintsExamplesAndInvalidCommandLineYieldsExitCode2() {
    assertEquals(0, run("state"));
    assertTrue(last.output().contains("Examples:"));
    assertEquals(0, run("state", "show", "--help"));
    assertTrue(last.output().contains("Examples:"));
    assertEquals(2, run("state", "show"));
    assertEquals(2, run("state", "shwo", "x"));
  }
}
