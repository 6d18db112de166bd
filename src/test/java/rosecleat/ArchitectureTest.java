package rosecleat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which package may know which: the core knows no wire, and the wires know nothing of the module. */
class ArchitectureTest {
  private static final Path ROOT = Path.of("src/main/java/rosecleat");

  /** Lines of a package that name something forbidden; plain names count as much as imports. */
  private static List<String> lines(String folder, String forbidden) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
      List<Path> sources = files.filter(f -> f.toString().endsWith(".java")).toList();
      assertTrue(sources.size() > 0, "no sources in " + folder);
      return sources.stream().flatMap(f -> {
        try {
          return Files.readAllLines(f).stream().filter(l -> l.matches(forbidden))
              .map(l -> f.getFileName() + ": " + l);
        } catch (IOException e) {
          throw new java.io.UncheckedIOException(e);
        }
      }).toList();
    }
  }

  @Test void theCoreKnowsNoFrontAndNoNetwork() throws IOException {
    String wires = ".*(rosecleat\\.(front|net|runtime|index|roster|mgmt|cli|config|benchlink)\\b|java\\.nio\\.channels|"
        + "java\\.net\\.).*";
    assertEquals(List.of(), lines("core", wires));
    assertEquals(List.of(), lines("policy", wires));
  }

  @Test void theNetworkKnowsNothingOfTheModule() throws IOException {
    for (String folder : List.of("net", "front", "runtime", "index", "roster", "mgmt")) {
      assertEquals(List.of(), lines(folder, ".*(PolicyApi|rosecleat\\.policy).*"), folder);
    }
  }
}
