package rosecleat.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.swagger.v3.oas.models.Components;
import io.swagger.v3.oas.models.examples.Example;
import io.swagger.v3.oas.models.media.MediaType;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Produces a response body for a media type: its example, or else a value for its schema. */
final class ExampleBody {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ExampleBody() {}

  /** Returns the body in UTF-8; empty if the media type has neither an example nor a schema. */
  static byte[] of(MediaType mediaType, Components components) {
    if (mediaType == null) {
      return new byte[0];
    }
    JsonNode body = value(mediaType, components);
    return body == null ? new byte[0] : encode(body);
  }

  private static JsonNode value(MediaType mediaType, Components components) {
    Object example = example(mediaType);
    if (example != null) {
      return JSON.valueToTree(example);
    }
    return mediaType.getSchema() == null
        ? null
        : new SchemaExample(components).of(mediaType.getSchema());
  }

  private static Object example(MediaType mediaType) {
    Map<String, Example> named = mediaType.getExamples();
    if (mediaType.getExample() != null || named == null || named.isEmpty()) {
      return mediaType.getExample();
    }
    return named.values().iterator().next().getValue();
  }

  private static byte[] encode(JsonNode body) {
    try {
      String text = body.isTextual() ? body.asText() : JSON.writeValueAsString(body);
      return text.getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw ConfigException.invalid(
          "an example in an API description", "cannot be written as JSON");
    }
  }
}
