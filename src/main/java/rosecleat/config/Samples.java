package rosecleat.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.swagger.v3.oas.models.Components;
import io.swagger.v3.oas.models.media.MediaType;
import io.swagger.v3.oas.models.media.Schema;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A body that a description allows: its example where it has one, else one made up from the schema.
 */
final class Samples {
  private static final String COMPONENTS = "#/components/schemas/";

  /** Guards against schemas that refer to themselves. */
  private static final int DEEPEST = 6;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private Samples() {}

  /** A body of a media type; empty where nothing is said of it. */
  static byte[] of(MediaType type, Components components) {
    if (type == null) {
      return new byte[0];
    }
    Object example = type.getExample();
    if (example == null && type.getExamples() != null && !type.getExamples().isEmpty()) {
      example = type.getExamples().values().iterator().next().getValue();
    }
    JsonNode body =
        example != null
            ? MAPPER.valueToTree(example)
            : type.getSchema() == null ? null : value(type.getSchema(), components, 0);
    if (body == null) {
      return new byte[0];
    }
    try {
      String text = body.isTextual() ? body.asText() : MAPPER.writeValueAsString(body);
      return text.getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new ConfigException("an example in a description can't be written");
    }
  }

  private static JsonNode value(Schema<?> schema, Components components, int depth) {
    if (schema.getExample() != null) {
      return MAPPER.valueToTree(schema.getExample());
    }
    if (schema.getDefault() != null) {
      return MAPPER.valueToTree(schema.getDefault());
    }
    if (schema.getEnum() != null && !schema.getEnum().isEmpty()) {
      return MAPPER.valueToTree(schema.getEnum().get(0));
    }
    if (schema.get$ref() != null) {
      Schema<?> named =
          components == null
                  || components.getSchemas() == null
                  || depth >= DEEPEST
                  || !schema.get$ref().startsWith(COMPONENTS)
              ? null
              : components.getSchemas().get(schema.get$ref().substring(COMPONENTS.length()));
      return named == null ? JSON.nullNode() : value(named, components, depth + 1);
    }
    String type =
        schema.getType() != null
            ? schema.getType()
            : schema.getTypes() != null && !schema.getTypes().isEmpty()
                ? schema.getTypes().iterator().next()
                : schema.getProperties() != null ? "object" : "string";
    return switch (type) {
      case "object" -> object(schema, components, depth);
      case "array" -> {
        ArrayNode array = JSON.arrayNode();
        int count = schema.getMinItems() == null ? 0 : Math.min(schema.getMinItems(), 16);
        for (int i = 0; i < count && schema.getItems() != null && depth < DEEPEST; i++) {
          array.add(value(schema.getItems(), components, depth + 1));
        }
        yield array;
      }
      case "integer" ->
          JSON.numberNode(least(schema).setScale(0, java.math.RoundingMode.CEILING).toBigInteger());
      case "number" -> JSON.numberNode(least(schema));
      case "boolean" -> JSON.booleanNode(false);
      default ->
          JSON.textNode(
              "x"
                  .repeat(
                      schema.getMinLength() == null ? 0 : Math.min(schema.getMinLength(), 1024)));
    };
  }

  private static BigDecimal least(Schema<?> schema) {
    BigDecimal most = schema.getMaximum();
    return schema.getMinimum() != null
        ? schema.getMinimum()
        : most != null && most.signum() < 0 ? most : BigDecimal.ZERO;
  }

  private static ObjectNode object(Schema<?> schema, Components components, int depth) {
    ObjectNode object = JSON.objectNode();
    if (schema.getProperties() != null && depth < DEEPEST) {
      for (Map.Entry<String, ? extends Schema<?>> each : typed(schema.getProperties()).entrySet()) {
        object.set(each.getKey(), value(each.getValue(), components, depth + 1));
      }
    }
    return object;
  }

  /**
   * The library's own signature names no type: what is in its map is taken for schemas of anything.
   */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private static Map<String, ? extends Schema<?>> typed(Map<String, Schema> properties) {
    return (Map<String, ? extends Schema<?>>) (Map) properties;
  }
}
