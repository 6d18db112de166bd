package rosecleat.runtime;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.core.RunResult;

class RuntimeMessageTest {
  private static RuntimeMessage parse(String line) {
    return RuntimeMessage.parse(line).orElseThrow();
  }

  @Test
  void endOfRunHasResultPayloadAndDuration() {
    assertEquals(
        new RuntimeMessage(
            7, "a1", new RuntimeMessage.RunEnded(RunResult.CANCELLED, "eA==", 20_500)),
        parse(
            "{\"type\":\"end\",\"n\":7,\"job\":\"a1\",\"state\":\"halted\",\"took\":20.5,"
                + "\"data\":\"eA==\"}"));
  }

  @Test
  void gaugesHaveReferenceAndValuesAndNoSequence() {
    RuntimeMessage message = parse("{ \"type\":\"load\",\"ref\":\"g\",\"gauges\":[1, 2.5 ,3] }");
    assertEquals(0, message.sequence());
    RuntimeMessage.Gauges gauges = assertInstanceOf(RuntimeMessage.Gauges.class, message.body());
    assertEquals("g", gauges.reference());
    assertArrayEquals(new double[] {1, 2.5, 3}, gauges.values());
  }

  @Test
  void escapesInTextAreDecoded() {
    assertEquals(
        new RuntimeMessage.CommandRejected("a/\"b\"\u00e9\n"),
        parse("{\"type\":\"nack\",\"state\":\"a\\/\\\"b\\\"\\u00e9\\n\"}").body());
  }

  @Test
  void messageOfUnknownOrAbsentTypeIsIgnored() {
    assertEquals(new RuntimeMessage(0, "", new RuntimeMessage.Ignored()), parse("{}"));
    assertEquals(
        new RuntimeMessage(3, "", new RuntimeMessage.Ignored()),
        parse("{\"type\":\"note\",\"n\":3,\"job\":null,\"new\":true}"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "ready",
        "{\"type\":\"end\"",
        "{\"type\":\"end\"} x",
        "{\"type\" \"end\"}",
        "{\"n\":1 \"m\":2}",
        "{\"n\":one}",
        "{\"text\":\"\\u12\"}"
      })
  void malformedLineIsRejected(String line) {
    assertTrue(RuntimeMessage.parse(line).isEmpty());
  }
}
