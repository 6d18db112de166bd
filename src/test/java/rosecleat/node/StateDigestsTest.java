package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rosecleat.config.BrokerConfig;
import rosecleat.config.BrokerConfigReader;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.facts.SettingsDigests;

/**
 * The names and digests under which estimates are stored. The expected file was written by commit
 * a6781e5 from the same configuration; a difference would drop every stored estimate at the next
 * start.
 */
class StateDigestsTest {
  private static final Path FILES = Path.of("src/test/resources/rosecleat/node/learned-by-a6781e5");

  @Test
  void namesAndDigestsAreThoseOfTheEarlierVersion() throws IOException {
    NodeConfig node =
        NodeConfigReader.parse(Files.readString(FILES.resolve("node.json")), Map.of());
    BrokerConfig broker = BrokerConfigReader.read(FILES.resolve("broker.yaml"), node.settings());
    IndexedSettings settings = new IndexedSettings(new ProcessConfig(node, Optional.of(broker)));
    assertEquals(Files.readAllLines(FILES.resolve("names-and-digests.txt")), describe(settings));
  }

  private static List<String> describe(IndexedSettings settings) {
    SettingsDigests digests = StateDigests.of(settings);
    List<String> lines = new ArrayList<>();
    settings.storedNames().classes().forEach(name -> lines.add("class name " + name));
    settings.storedNames().tenants().forEach(name -> lines.add("tenant name " + name));
    lines.add("node " + digests.node());
    lines.add("server digest " + digests.server());
    new TreeMap<>(digests.classes())
        .forEach((name, digest) -> lines.add("class digest " + digest + " " + name));
    new TreeMap<>(digests.tenants())
        .forEach((name, digest) -> lines.add("tenant digest " + digest + " " + name));
    lines.addAll(
        digests.maxValues().entrySet().stream()
            .map(
                entry ->
                    "maximum "
                        + entry.getValue()
                        + " "
                        + entry.getKey().kind()
                        + " "
                        + entry.getKey().subject())
            .sorted()
            .toList());
    return lines;
  }
}
