package rosecleat.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import rosecleat.facts.Fact;
import rosecleat.state.FactOwner;
import rosecleat.store.Disk;
import rosecleat.store.Finding;
import rosecleat.store.Folder;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/**
 * {@code state show|verify|compact FOLDER}: what a node keeps, for people and scripts. Exit codes:
 * 0 done or whole, 2 no such folder or it can't be used, 3 damaged.
 */
final class StateCommands {
  static final int UNUSABLE = 2;
  static final int DAMAGED = 3;
  private static final double SECOND_US = 1e6;
  private static final long MOST_BYTES = 1L << 40;

  /** What all three take. */
  private abstract static class Command {
    @Parameter(description = "FOLDER", required = true, arity = 1)
    List<String> folder;

    @Parameter(names = "--json", description = "print JSON for scripts")
    boolean json;

    @Parameter(names = "--help", help = true, description = "print this help")
    boolean help;
  }

  @Parameters(commandDescription = "list the facts that count, with age and weight")
  private static final class Show extends Command {}

  @Parameters(commandDescription = "check every file; exit code 3 where something is damaged")
  private static final class Verify extends Command {}

  @Parameters(
      commandDescription = "write all that counts into one snapshot; no node may be writing")
  private static final class Compact extends Command {}

  /** What a command prints, and its exit code. */
  record Result(int code, String text) {}

  private static final String EXAMPLES =
      """

      Examples:
        rosecleat state show /var/lib/rosecleat
        rosecleat state verify /var/lib/rosecleat || echo "see what was damaged"
        rosecleat state compact /var/lib/rosecleat --json
      """;

  private final ObjectMapper mapper = new ObjectMapper();
  private final long nowUs;

  StateCommands(long nowUs) {
    this.nowUs = nowUs;
  }

  /** Adds the three to the command {@code state}. */
  static void addTo(JCommander state) {
    state.addCommand("show", new Show());
    state.addCommand("verify", new Verify());
    state.addCommand("compact", new Compact());
  }

  /** Runs the one that was parsed. */
  Result run(JCommander state) {
    String word = state.getParsedCommand();
    if (word == null) {
      StringBuilder text = new StringBuilder();
      state.getUsageFormatter().usage(text);
      return new Result(0, text + EXAMPLES);
    }
    JCommander one = state.getCommands().get(word);
    Command command = (Command) one.getObjects().get(0);
    if (command.help) {
      StringBuilder text = new StringBuilder();
      one.getUsageFormatter().usage(text);
      return new Result(0, text + EXAMPLES);
    }
    Path path = Path.of(command.folder.get(0));
    try {
      Disk folder = Folder.of(path);
      return switch (word) {
        case "show" -> show(command, path, Store.look(folder, new FactOwner()));
        case "verify" -> verify(command, path, Store.look(folder, new FactOwner()));
        default -> compact(command, path, folder);
      };
    } catch (NoSuchFileException e) {
      return failed(
          command,
          "there is no folder "
              + path
              + "; name the one that state.folder in the broker's file names");
    } catch (IOException e) {
      return failed(command, path + " can't be read: " + e);
    }
  }

  private Result failed(Command command, String why) {
    return new Result(
        UNUSABLE,
        command.json
            ? mapper.createObjectNode().put("error", why).toString()
            : "rosecleat: " + why);
  }

  private Result show(Command command, Path path, Recovered found) {
    if (found.refusal() != null) {
      return failed(command, found.refusal());
    }
    FactOwner.Facts facts = (FactOwner.Facts) found.fold();
    if (command.json) {
      ObjectNode root =
          mapper.createObjectNode().put("folder", path.toString()).put("unread", facts.unread());
      ArrayNode all = root.putArray("facts");
      for (FactOwner.Kept kept : facts.all()) {
        Fact f = kept.fact();
        all.addObject()
            .put("node", kept.node())
            .put("kind", f.kind().word())
            .put("subject", f.subject())
            .put("value", f.value())
            .put("weight", f.weight())
            .put("age_s", age(f))
            .put("terms", f.terms());
      }
      return new Result(0, root.toPrettyString());
    }
    StringBuilder text =
        new StringBuilder(row("node", "kind", "subject", "value", "weight", "age s"));
    for (FactOwner.Kept kept : facts.all()) {
      Fact f = kept.fact();
      text.append('\n')
          .append(
              row(
                  kept.node(),
                  f.kind().word(),
                  f.subject().isEmpty() ? "-" : f.subject(),
                  number("%.4g", f.value()),
                  number("%.1f", f.weight()),
                  number("%.1f", age(f))));
    }
    text.append('\n').append(facts.all().size()).append(" facts");
    if (facts.unread() > 0) {
      text.append(", ").append(facts.unread()).append(" of kinds this program does not know");
    }
    return new Result(0, text.toString());
  }

  private double age(Fact fact) {
    return (nowUs - fact.atUs()) / SECOND_US;
  }

  private static String number(String form, double value) {
    return String.format(Locale.ROOT, form, value);
  }

  private static String row(
      String node, String kind, String subject, String value, String weight, String age) {
    return String.format(
        Locale.ROOT, "%-12s %-12s %-28s %12s %8s %10s", node, kind, subject, value, weight, age);
  }

  private Result verify(Command command, Path path, Recovered found) {
    if (found.refusal() != null) {
      return failed(command, found.refusal());
    }
    int code = found.damaged() ? DAMAGED : 0;
    String word = found.damaged() ? "damaged" : found.fresh() ? "empty" : "whole";
    if (command.json) {
      ObjectNode root =
          mapper
              .createObjectNode()
              .put("folder", path.toString())
              .put("state", word)
              .put("entries", found.entries())
              .put("bytes", found.bytes());
      ArrayNode all = root.putArray("findings");
      for (Finding f : found.findings()) {
        all.addObject()
            .put("damage", f.damage())
            .put("file", f.file())
            .put("at", f.at())
            .put("bytes", f.bytes())
            .put("what", f.what());
      }
      return new Result(code, root.toPrettyString());
    }
    StringBuilder text =
        new StringBuilder(
            path
                + " is "
                + word
                + ": "
                + found.entries()
                + " entries, "
                + found.bytes()
                + " bytes");
    for (Finding f : found.findings()) {
      text.append('\n').append(f.damage() ? "damage: " : "cut: ").append(f);
    }
    return new Result(code, text.toString());
  }

  private Result compact(Command command, Path path, Disk folder) throws IOException {
    Recovered before = Store.look(folder, new FactOwner());
    Store.Opening opening = Store.compact(folder, new FactOwner(), MOST_BYTES);
    if (opening instanceof Store.Locked) {
      return failed(
          command,
          "a running node writes to " + path + "; it compacts by itself, or stop it first");
    } else if (opening instanceof Store.Refused refused) {
      return failed(command, refused.why());
    } else if (opening instanceof Store.Failed failed) {
      return failed(command, path + " can't be compacted: " + failed.why());
    }
    Recovered after = Store.look(folder, new FactOwner());
    int code = before.damaged() ? DAMAGED : 0;
    return new Result(
        code,
        command.json
            ? mapper
                .createObjectNode()
                .put("folder", path.toString())
                .put("before", before.bytes())
                .put("after", after.bytes())
                .put("damaged", before.damaged())
                .toString()
            : path
                + ": "
                + before.bytes()
                + " bytes before, "
                + after.bytes()
                + " after"
                + (before.damaged() ? "; what was damaged is set aside as damaged-*" : ""));
  }
}
