package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TextSyntaxTest {
  @Test
  void numbersHaveOneToTheMaximumOfDigits() {
    assertEquals(0, TextSyntax.parseNumber("0", 3));
    assertEquals(999, TextSyntax.parseNumber("999", 3));
    assertEquals(23, TextSyntax.parseNumber("12345", 1, 3, 3));
    for (String text : new String[] {"", "1000", "-1", "+1", "1.0", " 1", "x"}) {
      assertEquals(-1, TextSyntax.parseNumber(text, 3), text);
    }
  }

  @Test
  void decimalsHaveDigitsOnBothSidesOfThePoint() {
    assertEquals(12, TextSyntax.parseDecimal("12"));
    assertEquals(0.25, TextSyntax.parseDecimal("0.25"));
    for (String text : new String[] {"", ".5", "5.", "1e3", "-1", "1.2.3", "NaN"}) {
      assertEquals(Double.NaN, TextSyntax.parseDecimal(text), text);
    }
  }

  @Test
  void hexDigitsAreLowerCaseAndWithinTheBounds() {
    assertTrue(TextSyntax.isLowerHex("09af", 1, 4));
    for (String text : new String[] {"", "09aff", "09AF", "g"}) {
      assertFalse(TextSyntax.isLowerHex(text, 1, 4), text);
    }
  }

  @Test
  void namesHaveUpTo64LettersDigitsHyphensAndUnderscores() {
    assertTrue(TextSyntax.isName("aZ0-_"));
    assertTrue(TextSyntax.isName("a".repeat(64)));
    for (String text : new String[] {"", "a".repeat(65), "a b", "a.b", "\u00e9"}) {
      assertFalse(TextSyntax.isName(text), text);
    }
  }
}
