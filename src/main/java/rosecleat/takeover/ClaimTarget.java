package rosecleat.takeover;

import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Optional;
import rosecleat.net.TextSyntax;

/**
 * A claim of an idempotency key, as encoded in the target of its symbolic link: {@code
 * owner:untilUs:digest}.
 *
 * @param owner the number of the process that owns the claim
 * @param untilUs the end of the key's window (us of the Unix clock)
 * @param digest the digest of the request's content
 * @param alias whether the link is an alias of a claim with another name; encoded as a zero before
 *     the owner, which earlier versions read as the same owner
 */
record ClaimTarget(int owner, long untilUs, byte[] digest, boolean alias) {
  private static final String SEPARATOR = ":";
  private static final int PARTS = 3;

  private static final String ALIAS_MARK = "0";

  /** Maximum number of digits of a process number, so that it fits an int. */
  private static final int MAX_OWNER_DIGITS = 9;

  private static final HexFormat HEX = HexFormat.of();

  /** Parses a link's target; returns empty if it does not encode a claim. */
  static Optional<ClaimTarget> parse(Path target) {
    String[] parts = target.toString().split(SEPARATOR, -1);
    long owner = parts.length == PARTS ? TextSyntax.parseNumber(parts[0], MAX_OWNER_DIGITS) : -1;
    if (owner < 1) {
      return Optional.empty();
    }
    try {
      long untilUs = TextSyntax.parseNumber(parts[1], TextSyntax.MAX_DIGITS);
      return Optional.of(
          new ClaimTarget(
              (int) owner, untilUs, HEX.parseHex(parts[2]), parts[0].startsWith(ALIAS_MARK)));
    } catch (IllegalArgumentException e) {
      return Optional.empty(); // the digest is not hexadecimal
    }
  }

  /** Returns the target of the claim's symbolic link. */
  Path toPath() {
    String mark = alias ? ALIAS_MARK : "";
    return Path.of(mark + owner + SEPARATOR + untilUs + SEPARATOR + HEX.formatHex(digest));
  }
}
