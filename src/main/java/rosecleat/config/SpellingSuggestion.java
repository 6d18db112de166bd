package rosecleat.config;

import java.util.Optional;

/** Finds the known key that most resembles a misspelt key. */
final class SpellingSuggestion {
  /** Maximum edit distance of a suggested key. */
  private static final int MAX_EDITS = 3;

  private SpellingSuggestion() {}

  /**
   * Returns the known key with the smallest edit distance, the first if several have it; empty if
   * none is within the maximum distance. A known key that is not longer than its distance is not
   * considered.
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

  /** Returns the Levenshtein distance of two words, by the Wagner-Fischer algorithm. */
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
