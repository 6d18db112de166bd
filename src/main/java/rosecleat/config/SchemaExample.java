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

/**
 * Produces an example value for an OpenAPI schema: the example, default or first enum value that
 * the schema specifies, or else the smallest value that it allows.
 */
final class SchemaExample {
  private static final String COMPONENTS = "#/components/schemas/";

  /** Maximum nesting depth of a value, needed as schemas can be recursive. */
  private static final int MAX_DEPTH = 6;

  /** Maximum length of a generated array, even if the schema requires more elements. */
  private static final int MAX_ELEMENTS = 16;

  /** Maximum length of a generated string, even if the schema requires more characters. */
  private static final int MAX_TEXT_LENGTH = 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Components components;

  /** Creates a generator that resolves references in the given components, which may be null. */
  SchemaExample(Components components) {
    this.components = components;
  }

  /** Returns an example value for the schema. */
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

  /** Returns the referenced schema; null if there is none or the maximum depth is reached. */
  private Schema<?> resolve(String reference, int depth) {
    if (components == null
        || components.getSchemas() == null
        || depth >= MAX_DEPTH
        || !reference.startsWith(COMPONENTS)) {
      return null;
    }
    return components.getSchemas().get(reference.substring(COMPONENTS.length()));
  }

  /** Returns the type that a schema specifies, in OpenAPI 3.0 or 3.1 form, or else implies. */
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

  /** Casts from the raw type in the library's signature; the map contains schemas of any type. */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private static Map<String, ? extends Schema<?>> typed(Map<String, Schema> properties) {
    return (Map<String, ? extends Schema<?>>) (Map) properties;
  }
}
