package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.config.ConfigError.InvalidEntry;
import rosecleat.config.ConfigError.InvalidFile;
import rosecleat.config.ConfigError.SchemaViolation;

/** Reads the sample broker file, and checks the errors for files with a single invalid change. */
class BrokerConfigReaderTest {
  private static final Path SAMPLE = Path.of("deploy/broker.yaml");

  @TempDir Path folder;

  private static NamedSettings nodeSettings() {
    return NodeConfigReader.fromEnvironment(Map.of("PROXY_CONFIG", "deploy/example.json"))
        .settings();
  }

  private Path sampleWith(String from, String into) throws IOException {
    String text = Files.readString(SAMPLE);
    assertTrue(text.contains(from), from);
    Path descriptions = Files.createDirectories(folder.resolve("descriptions"));
    for (String name : List.of("cards.yaml", "loads.yaml")) {
      Files.writeString(
          descriptions.resolve(name), Files.readString(Path.of("deploy/descriptions", name)));
    }
    return Files.writeString(folder.resolve("broker.yaml"), text.replace(from, into));
  }

  /** Returns the error for the sample file with one change. */
  private ConfigException rejection(String from, String into) throws IOException {
    Path file = sampleWith(from, into);
    return assertThrows(ConfigException.class, () -> BrokerConfigReader.read(file, nodeSettings()));
  }

  private String rejectionMessage(String from, String into) throws IOException {
    return rejection(from, into).getMessage();
  }

  @Test
  void sampleFileDefinesFourOperationsWithTheClassesAndTenantsOfTheNode() {
    BrokerConfig broker = BrokerConfigReader.read(SAMPLE, nodeSettings());
    assertEquals(4, broker.operations().size());
    assertEquals(nodeSettings().classNames(), broker.settings().classNames());
    assertEquals(nodeSettings().tenantNames(), broker.settings().tenantNames());
  }

  @Test
  void misspeltKeyIsRejectedWithLineAndNearestKnownKey() throws IOException {
    String message = rejectionMessage("  connections: 128", "  conections: 128");
    assertTrue(
        message.contains(
            "line 10: /uwsgi has the unknown key conections; did you mean connections?"),
        message);
    message = rejectionMessage("effect: pure}", "efect: pure}");
    assertTrue(message.contains("has the unknown key efect; did you mean effect?"), message);
    message = rejectionMessage("services:", "state: {folder: x, every_sm: 5}\nservices:");
    assertTrue(
        message.contains("/state has the unknown key every_sm; did you mean every_ms?"), message);
    message = rejectionMessage("services:", "zebra: 1\nservices:");
    assertTrue(
        message.contains("the file has the unknown key zebra") && !message.contains("did you mean"),
        message);
  }

  @Test
  void misspeltKeyYieldsTypedErrorWithFileLineAndPointer() throws IOException {
    ConfigError error = rejection("  connections: 128", "  conections: 128").error();
    InvalidFile file = assertInstanceOf(InvalidFile.class, error);
    assertEquals(folder.resolve("broker.yaml").toString(), file.file());
    assertEquals(
        List.of(
            new SchemaViolation(
                10,
                "/uwsgi/conections",
                "/uwsgi has the unknown key conections; did you mean connections?")),
        file.errors());
  }

  @Test
  void allErrorsOfAFileAreReportedAtOnce() throws IOException {
    String message =
        rejectionMessage("  connections: 128", "  connections: many\n  conections: 1\n  lissen: x");
    assertTrue(
        message.contains("/uwsgi/connections")
            && message.contains("conections")
            && message.contains("lissen"),
        message);
  }

  @Test
  void valueOutOfRangeIsRejectedWithItsPointer() throws IOException {
    assertTrue(
        rejectionMessage("packet_bytes: 16384", "packet_bytes: 70000")
            .contains("/uwsgi/limits/packet_bytes"));
    assertTrue(
        rejectionMessage("backend: sample ", "backend: tcp://x ")
            .contains("/services/cards/backend"));
    assertTrue(
        rejectionMessage("effect: token", "effect: maybe")
            .contains("/services/loads/contract/receiveLoad/effect"));
  }

  @Test
  void contractOrBudgetThatContradictsItsSourceIsRejectedWithItsSubject() throws IOException {
    assertEquals(
        new InvalidEntry(
            "operation getBalance",
            "has aim_ms 8601.0, which exceeds deadline_ms 8600.0 (a value may come from its"
                + " class)"),
        rejection("aim_ms: 2300", "aim_ms: 8601").error());
    assertEquals(
        new InvalidEntry(
            "operation receiveLoad",
            "has the effect pure, which differs from the effect of its class"),
        rejection("effect: token", "effect: pure").error());
    assertEquals(
        new InvalidEntry(
            "operation getNothing", "of service cards is not defined in any description"),
        rejection("getBalance", "getNothing").error());
    assertEquals(
        new InvalidEntry(
            "backend of cards",
            "is fleet, but the broker file has neither a fleet nor a routes section"),
        rejection("backend: sample ", "backend: fleet ").error());
    assertEquals(
        new InvalidEntry(
            "budget of aspen-dining", "has quota_per_s 21.0, but tenant aspen-dining has 20.0"),
        rejection("tenant: aspen-dining, quota_per_s: 20", "tenant: aspen-dining, quota_per_s: 21")
            .error());
  }

  @Test
  void contractWithOtherTimesAddsClassAfterThoseOfTheNode() throws IOException {
    Path file = sampleWith("aim_ms: 2300", "aim_ms: 2200");
    BrokerConfig broker = BrokerConfigReader.read(file, nodeSettings());
    int nodeClasses = nodeSettings().classNames().size();
    ServiceOperation getBalance = broker.operations().get(0);
    assertEquals("getBalance", getBalance.id());
    assertEquals(nodeClasses, getBalance.classIndex());
    assertEquals("balance-check", broker.settings().classNames().get(nodeClasses));
    assertEquals(
        2_200_000, broker.settings().policy().classes().get(nodeClasses).latencyObjectiveUs());
  }

  @Test
  void withIndexesReplacesEveryClassAndTenantIndex() {
    BrokerConfig broker = BrokerConfigReader.read(SAMPLE, nodeSettings());
    BrokerConfig reindexed =
        broker.withIndexes(List.of(13, 12, 11, 10), List.of(24, 23, 22, 21, 20));
    assertEquals(
        List.of(13, 12, 11, 10),
        reindexed.operations().stream().map(ServiceOperation::classIndex).toList());
    assertEquals(23, reindexed.operations().get(0).tenantIndexByTeam().get("aspen-dining"));
  }
}
