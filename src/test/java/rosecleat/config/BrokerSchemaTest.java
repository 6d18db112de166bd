package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The broker's file against its schema: what is not known is refused, with its line and what was
 * meant.
 */
class BrokerSchemaTest {
  private static final Path SAMPLE = Path.of("deploy/broker.yaml");

  @TempDir Path folder;

  private NamedSettings start() {
    return NodeConfigReader.fromEnvironment(Map.of("PROXY_CONFIG", "deploy/example.json"))
        .settings();
  }

  private String refusal(String from, String to) throws IOException {
    String text = Files.readString(SAMPLE);
    assertTrue(text.contains(from), from);
    Path descriptions = Files.createDirectories(folder.resolve("descriptions"));
    for (String name : new String[] {"cards.yaml", "loads.yaml"}) {
      Files.writeString(
          descriptions.resolve(name), Files.readString(Path.of("deploy/descriptions", name)));
    }
    Path file = Files.writeString(folder.resolve("broker.yaml"), text.replace(from, to));
    return assertThrows(ConfigException.class, () -> BrokerConfigReader.read(file, start()))
        .getMessage();
  }

  @Test
  void theSampleHolds() {
    assertEquals(4, BrokerConfigReader.read(SAMPLE, start()).operations().size());
  }

  @Test
  void aMisspeltKeyIsRefusedWithItsLineAndTheNearestKnown() throws IOException {
    String message = refusal("  connections: 128", "  conections: 128");
    assertTrue(
        message.contains("line 10: /uwsgi has no key conections; did you mean connections?"),
        message);
    message = refusal("effect: pure}", "efect: pure}");
    assertTrue(message.contains("has no key efect; did you mean effect?"), message);
    message = refusal("services:", "state: {folder: x, every_sm: 5}\nservices:");
    assertTrue(message.contains("/state has no key every_sm; did you mean every_ms?"), message);
    message = refusal("services:", "zebra: 1\nservices:");
    assertTrue(message.contains("has no key zebra") && !message.contains("did you mean"), message);
  }

  @Test
  void allFindingsComeAtOnce() throws IOException {
    String message =
        refusal("  connections: 128", "  connections: many\n  conections: 1\n  lissen: x");
    assertTrue(
        message.contains("/uwsgi/connections")
            && message.contains("conections")
            && message.contains("lissen"),
        message);
  }

  @Test
  void aFigureOutOfRangeIsRefused() throws IOException {
    assertTrue(
        refusal("packet_bytes: 16384", "packet_bytes: 70000")
            .contains("/uwsgi/limits/packet_bytes"));
    assertTrue(
        refusal("backend: sample ", "backend: tcp://x ").contains("/services/cards/backend"));
    assertTrue(
        refusal("effect: token", "effect: maybe")
            .contains("/services/loads/contract/receiveLoad/effect"));
  }
}
