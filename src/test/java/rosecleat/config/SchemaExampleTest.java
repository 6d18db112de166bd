package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.swagger.v3.oas.models.Components;
import io.swagger.v3.oas.models.media.ArraySchema;
import io.swagger.v3.oas.models.media.IntegerSchema;
import io.swagger.v3.oas.models.media.NumberSchema;
import io.swagger.v3.oas.models.media.ObjectSchema;
import io.swagger.v3.oas.models.media.Schema;
import io.swagger.v3.oas.models.media.StringSchema;
import java.math.BigDecimal;
import org.junit.jupiter.api.Test;

/** Example values for schemas: the specified value if there is one, else the smallest allowed. */
class SchemaExampleTest {
  private static String example(Schema<?> schema) {
    return new SchemaExample(new Components()).of(schema).toString();
  }

  @Test
  void examplePrecedesDefaultAndDefaultPrecedesFirstEnumValue() {
    StringSchema schema = new StringSchema();
    schema.addEnumItem("choice");
    assertEquals("\"choice\"", example(schema));
    schema.setDefault("default");
    assertEquals("\"default\"", example(schema));
    schema.setExample("example");
    assertEquals("\"example\"", example(schema));
  }

  @Test
  void valueWithoutExampleIsTheSmallestWithinTheBounds() {
    Schema<?> atLeast = new IntegerSchema().minimum(new BigDecimal("2.5"));
    Schema<?> atMost = new NumberSchema().maximum(new BigDecimal("-3"));
    ObjectSchema object = new ObjectSchema();
    object.addProperty("integer", atLeast);
    object.addProperty("number", atMost);
    object.addProperty(
        "texts", new ArraySchema().items(new StringSchema().minLength(2)).minItems(2));
    assertEquals("{\"integer\":3,\"number\":-3,\"texts\":[\"xx\",\"xx\"]}", example(object));
  }

  @Test
  void recursiveSchemaIsExpandedToSixLevels() {
    Schema<?> recursive = new ObjectSchema();
    recursive.addProperty("next", new Schema<>().$ref("#/components/schemas/Node"));
    Components components = new Components().addSchemas("Node", recursive);
    // an object and the reference to it count as one level each
    assertEquals(
        "{\"next\":{\"next\":{\"next\":{}}}}",
        new SchemaExample(components).of(recursive).toString());
  }
}
