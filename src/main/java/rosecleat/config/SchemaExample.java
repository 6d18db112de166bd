package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.swagger.v3.oas.models.Components;
import io.swagger.v3.oas.models.media.Schema;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Map;

/** Makes the smallest value that an OpenAPI schema allows, or takes the one that it names. */
final class SchemaExample {
  private static final String COMPONENTS = "#/components/schemas/";

  /** How deep values are nested: schemas may refer to themselves. */
  private static final int MAX_DEPTH = 6;

  /** How many elements a made array has at most, whatever the schema asks for. */
  private static final int MAX_ELEMENTS = 16;

  /** How many characters a made text has at most, whatever the schema asks for. */
  private static final int MAX_TEXT_LENGTH = 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Components components;

  /** Makes values; the components, which may be null, are what schemas refer to. */
  SchemaExample(Components components) {
    this.components = components;
  }

  /** A value that the schema allows. */
  JsonNode of(Schema<?> schema) {
    return value(schema, 0);
  }

  private JsonNode value(Schema<?> schema, int depth) {
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
      Schema<?> target = resolve(schema.get$ref(), depth);
      return target == null ? JSON.nullNode() : value(target, depth + 1);
    }
    return switch (type(schema)) {
      case "object" -> object(schema, depth);
      case "array" -> array(schema, depth);
      case "integer" ->
          JSON.numberNode(smallestNumber(schema).setScale(0, RoundingMode.CEILING).toBigInteger());
      case "number" -> JSON.numberNode(smallestNumber(schema));
      case "boolean" -> JSON.booleanNode(false);
      default -> JSON.textNode("x".repeat(atMost(schema.getMinLength(), MAX_TEXT_LENGTH)));
    };
  }

  /** The schema that a reference names; null where there is none, or it is nested too deep. */
  private Schema<?> resolve(String reference, int depth) {
    if (components == null
        || components.getSchemas() == null
        || depth >= MAX_DEPTH
        || !reference.startsWith(COMPONENTS)) {
      return null;
    }
    return components.getSchemas().get(reference.substring(COMPONENTS.length()));
  }

  /** The type that a schema names, in the form of OpenAPI 3.0 or 3.1, or else implies. */
  private static String type(Schema<?> schema) {
    if (schema.getType() != null) {
      return schema.getType();
    }
    if (schema.getTypes() != null && !schema.getTypes().isEmpty()) {
      return schema.getTypes().iterator().next();
    }
    return schema.getProperties() != null ? "object" : "string";
  }

  private ObjectNode object(Schema<?> schema, int depth) {
    ObjectNode object = JSON.objectNode();
    if (schema.getProperties() != null && depth < MAX_DEPTH) {
      typed(schema.getProperties())
          .forEach((name, property) -> object.set(name, value(property, depth + 1)));
    }
    return object;
  }

  private ArrayNode array(Schema<?> schema, int depth) {
    ArrayNode array = JSON.arrayNode();
    if (schema.getItems() != null && depth < MAX_DEPTH) {
      int count = atMost(schema.getMinItems(), MAX_ELEMENTS);
      for (int i = 0; i < count; i++) {
        array.add(value(schema.getItems(), depth + 1));
      }
    }
    return array;
  }

  private static int atMost(Integer minimum, int bound) {
    return minimum == null ? 0 : Math.min(minimum, bound);
  }

  private static BigDecimal smallestNumber(Schema<?> schema) {
    if (schema.getMinimum() != null) {
      return schema.getMinimum();
    }
    BigDecimal maximum = schema.getMaximum();
    return maximum != null && maximum.signum() < 0 ? maximum : BigDecimal.ZERO;
  }

  /** The library's signature has a raw type; its map holds schemas of any type. */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private static Map<String, ? extends Schema<?>> typed(Map<String, Schema> properties) {
    return (Map<String, ? extends Schema<?>>) (Map) properties;
  }
}
