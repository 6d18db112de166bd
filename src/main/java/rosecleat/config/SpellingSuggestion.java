package rosecleat.config;

import java.util.Optional;

/** Finds the known key that a misspelt one was probably meant to be. */
final class SpellingSuggestion {
  /** A known key within this many edits is suggested. */
  private static final int MAX_EDITS = 3;

  private SpellingSuggestion() {}

  /**
   * The known key with the fewest edits, the first of equals; empty where none is near. A key as
   * short as the edits needed is never near.
   */
  static Optional<String> nearest(String key, Iterable<String> knownKeys) {
    Optional<String> nearest = Optional.empty();
    int fewestEdits = MAX_EDITS + 1;
    for (String known : knownKeys) {
      int edits = editDistance(key, known);
      if (edits < fewestEdits && edits < known.length()) {
        fewestEdits = edits;
        nearest = Optional.of(known);
      }
    }
    return nearest;
  }

  /** The Levenshtein distance of two words, by the algorithm of Wagner and Fischer. */
  static int editDistance(String from, String into) {
    int[] row = new int[into.length() + 1];
    for (int column = 0; column <= into.length(); column++) {
      row[column] = column;
    }
    for (int i = 1; i <= from.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int column = 1; column <= into.length(); column++) {
        int above = row[column];
        int substitution = from.charAt(i - 1) == into.charAt(column - 1) ? 0 : 1;
        row[column] = Math.min(Math.min(above + 1, row[column - 1] + 1), diagonal + substitution);
        diagonal = above;
      }
    }
    return row[into.length()];
  }
}
