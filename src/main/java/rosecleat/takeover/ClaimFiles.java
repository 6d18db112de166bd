package rosecleat.takeover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * The files of claims in a folder that the processes of a node share: for each claim a symbolic
 * link, whose target states the claim, and beside it a file with the result. An alias of a claim is
 * a link of its own, and a link to the claim's result. Each change is atomic.
 */
final class ClaimFiles {
  private static final String RESULT_SUFFIX = ".result";

  private static final HexFormat HEX = HexFormat.of();

  private final Path folder;
  private final Path temporary;

  /**
   * Creates the folder if it does not exist.
   *
   * @param ownNumber the number of this process, which keeps its temporary file apart
   */
  ClaimFiles(Path folder, int ownNumber) throws IOException {
    this.folder = Files.createDirectories(folder);
    temporary = folder.resolve("scratch-" + ownNumber);
  }

  /** Returns the name of a key's link. */
  static String fileName(String key) {
    try {
      return HEX.formatHex(
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform provides SHA-256
    }
  }

  /**
   * Creates a link.
   *
   * @throws java.nio.file.FileAlreadyExistsException if the link exists
   */
  void create(String file, ClaimTarget target) throws IOException {
    Files.createSymbolicLink(folder.resolve(file), target.toPath());
  }

  /**
   * Replaces a link of this process and drops its result. At no time is there no link, so that no
   * peer can create it in between.
   */
  void replace(String file, ClaimTarget target) throws IOException {
    Files.deleteIfExists(resultFile(file));
    Files.createSymbolicLink(temporary, target.toPath());
    Files.move(temporary, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Makes the result of a claim, once it is written, the result of an alias as well. */
  void linkResult(String alias, String file) throws IOException {
    Files.deleteIfExists(resultFile(alias));
    Files.createSymbolicLink(resultFile(alias), resultFile(file).getFileName());
  }

  /** Reads a link; empty if there is none, or it is no claim. */
  Optional<ClaimTarget> read(String file) {
    try {
      return ClaimTarget.parse(Files.readSymbolicLink(folder.resolve(file)));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Writes the result of a claim. */
  void writeResult(String file, byte[] bytes) throws IOException {
    Files.write(temporary, bytes);
    Files.move(temporary, resultFile(file), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Reads the result of a claim or of an alias. */
  byte[] readResult(String file) throws IOException {
    return Files.readAllBytes(resultFile(file));
  }

  /** Returns whether a claim or an alias has a result. */
  boolean hasResult(String file) {
    return Files.exists(resultFile(file));
  }

  /** Deletes a link and its result. */
  void delete(String file) throws IOException {
    Files.deleteIfExists(folder.resolve(file));
    Files.deleteIfExists(resultFile(file));
  }

  /** Lists the links of all claims and aliases. */
  List<String> links() throws IOException {
    List<String> links = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path path : files) {
        String file = path.getFileName().toString();
        if (!file.endsWith(RESULT_SUFFIX)) {
          links.add(file);
        }
      }
    }
    return links;
  }

  private Path resultFile(String file) {
    return folder.resolve(file + RESULT_SUFFIX);
  }
}
