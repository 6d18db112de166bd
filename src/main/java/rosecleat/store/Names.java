package rosecleat.store;

import java.util.Collection;
import java.util.List;

/** The names of the files in a store's folder. */
final class Names {
  static final String LOCK = "LOCK";
  static final String MANIFEST = "MANIFEST";
  static final String NEW = ".new";
  private static final String LOG = "log-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String ASIDE = "damaged-";

  private Names() {}

  static String log(long number) {
    return LOG + number;
  }

  static String snapshot(long number) {
    return SNAPSHOT + number;
  }

  /** The numbers of all logs, in order. */
  static List<Long> logs(Collection<String> names) {
    return numbers(names, LOG);
  }

  /** The numbers of all snapshots, in order. */
  static List<Long> snapshots(Collection<String> names) {
    return numbers(names, SNAPSHOT);
  }

  private static List<Long> numbers(Collection<String> names, String kind) {
    return names.stream()
        .filter(n -> n.matches(kind + "[1-9][0-9]{0,17}"))
        .map(n -> Long.parseLong(n.substring(kind.length())))
        .sorted()
        .toList();
  }

  /** Whether a file is one of a store's; others in the folder are left alone. */
  static boolean ours(String name) {
    return name.matches("(MANIFEST|(log|snapshot)-[1-9][0-9]{0,17})(\\.new)?")
        || asideNumber(name) > 0;
  }

  /** Whether a file was written aside and never finished. */
  static boolean unfinished(String name) {
    return name.endsWith(NEW);
  }

  /** What a file is called once it is set aside as the k-th. */
  static String aside(long k, String name) {
    return ASIDE + k + "-" + name;
  }

  /** Files set aside, the oldest first. */
  static List<String> asides(Collection<String> names) {
    return names.stream()
        .filter(n -> asideNumber(n) > 0)
        .sorted((a, b) -> Long.compare(asideNumber(a), asideNumber(b)))
        .toList();
  }

  /** The number a file was set aside under, 0 for any other. */
  static long asideNumber(String name) {
    return name.matches(ASIDE + "[1-9][0-9]{0,17}-.+")
        ? Long.parseLong(name.substring(ASIDE.length(), name.indexOf('-', ASIDE.length())))
        : 0;
  }
}
