package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the API descriptions that a broker file refers to. */
final class DescriptionsReader {
  private DescriptionsReader() {}

  /**
   * Reads all described operations, keyed by id.
   *
   * @param section the section {@code descriptions}
   * @param folder the folder against which relative paths are resolved
   */
  static Map<String, DescribedOperation> read(JsonNode section, Path folder) {
    Map<String, DescribedOperation> operationsById = new HashMap<>();
    for (JsonNode entry : section) {
      for (DescribedOperation operation : readDescription(entry, folder)) {
        if (operationsById.put(operation.id(), operation) != null) {
          throw ConfigException.invalid(
              "operation " + operation.id(), "is defined more than once in the descriptions");
        }
      }
    }
    return operationsById;
  }

  private static List<DescribedOperation> readDescription(JsonNode entry, Path folder) {
    if (entry.has("openapi")) {
      return OpenApiDescription.read(folder.resolve(entry.path("openapi").asText()));
    }
    if (entry.has("asyncapi")) {
      return AsyncApiDescription.read(folder.resolve(entry.path("asyncapi").asText()));
    }
    throw ConfigException.invalid(
        "an entry of descriptions", "must have the key openapi or asyncapi");
  }
}
