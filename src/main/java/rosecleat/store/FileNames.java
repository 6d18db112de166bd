package rosecleat.store;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Builds and parses the names of the files in a store's directory. */
final class FileNames {
  static final String LOCK = "LOCK";
  static final String MANIFEST = "MANIFEST";

  /** Suffix of a file that is being written; the file is renamed once it is complete. */
  static final String TEMPORARY_SUFFIX = ".new";

  private static final String SEGMENT_PREFIX = "log-";
  private static final String SNAPSHOT_PREFIX = "snapshot-";
  private static final String QUARANTINE_PREFIX = "damaged-";

  /** Matches a positive number of up to 18 digits, which a long can represent. */
  private static final String NUMBER_PATTERN = "[1-9][0-9]{0,17}";

  private static final String STORE_FILE_PATTERN =
      "(MANIFEST|(log|snapshot)-" + NUMBER_PATTERN + ")(\\.new)?";
  private static final String QUARANTINED_PATTERN = QUARANTINE_PREFIX + NUMBER_PATTERN + "-.+";

  private FileNames() {}

  static String segment(long number) {
    return SEGMENT_PREFIX + number;
  }

  static String snapshot(long number) {
    return SNAPSHOT_PREFIX + number;
  }

  /** Returns the numbers of all log segments, in ascending order. */
  static List<Long> segmentNumbers(Collection<String> names) {
    return numbers(names, SEGMENT_PREFIX);
  }

  /** Returns the numbers of all snapshots, in ascending order. */
  static List<Long> snapshotNumbers(Collection<String> names) {
    return numbers(names, SNAPSHOT_PREFIX);
  }

  private static List<Long> numbers(Collection<String> names, String prefix) {
    return names.stream()
        .filter(name -> name.matches(prefix + NUMBER_PATTERN))
        .map(name -> Long.parseLong(name.substring(prefix.length())))
        .sorted()
        .toList();
  }

  /** Returns whether a file belongs to the store; the store never changes other files. */
  static boolean isStoreFile(String name) {
    return name.matches(STORE_FILE_PATTERN) || quarantineNumber(name) > 0;
  }

  /** Returns whether a file is a temporary one, which a process did not complete. */
  static boolean isTemporary(String name) {
    return name.endsWith(TEMPORARY_SUFFIX);
  }

  /** Returns the name that a file gets in quarantine. */
  static String quarantinedName(long quarantineNumber, String name) {
    return QUARANTINE_PREFIX + quarantineNumber + "-" + name;
  }

  /** Returns the quarantined files, oldest first. */
  static List<String> quarantinedFiles(Collection<String> names) {
    return names.stream()
        .filter(name -> quarantineNumber(name) > 0)
        .sorted(Comparator.comparingLong(FileNames::quarantineNumber))
        .toList();
  }

  /** Returns the number under which a file was quarantined; 0 for any other file. */
  static long quarantineNumber(String name) {
    if (!name.matches(QUARANTINED_PATTERN)) {
      return 0;
    }
    int numberStart = QUARANTINE_PREFIX.length();
    return Long.parseLong(name.substring(numberStart, name.indexOf('-', numberStart)));
  }
}
