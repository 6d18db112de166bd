package rosecleat.cli.state;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import rosecleat.facts.Fact;
import rosecleat.state.FactState;
import rosecleat.state.FactStateFactory;
import rosecleat.state.NodeFact;
import rosecleat.store.Directory;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;

/** {@code state show}: prints the facts in the folder as a table or as JSON. */
@Parameters(
    commandDescription =
        "list the stored facts (the last one for each node and key) with their age and weight")
final class ShowCommand extends FolderCommand {
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  @Override
  CommandResult run(Path path, Directory folder, long nowUs) throws IOException {
    RecoveryReport recovered = RecordStore.inspect(folder, new FactStateFactory());
    if (recovered.unsupportedFormat().isPresent()) {
      return failure(recovered.unsupportedFormat().get().message());
    }
    FactState facts = (FactState) recovered.state();
    String text = printsJson() ? json(path, facts, nowUs) : table(facts, nowUs);
    return CommandResult.output(CommandResult.SUCCESS, text);
  }

  private static String json(Path path, FactState facts, long nowUs) {
    ObjectNode root =
        JSON.createObjectNode().put("folder", path.toString()).put("unread", facts.unreadable());
    ArrayNode entries = root.putArray("facts");
    for (NodeFact nodeFact : facts.facts()) {
      Fact fact = nodeFact.fact();
      entries
          .addObject()
          .put("node", nodeFact.node())
          .put("kind", fact.kind().wireName())
          .put("subject", fact.subject())
          .put("value", fact.value())
          .put("weight", fact.weight())
          .put("age_s", ageSeconds(fact, nowUs))
          .put("terms", fact.settingsDigest());
    }
    return root.toPrettyString();
  }

  private static String table(FactState facts, long nowUs) {
    StringBuilder text =
        new StringBuilder(row("node", "kind", "subject", "value", "weight", "age s"));
    for (NodeFact nodeFact : facts.facts()) {
      text.append('\n').append(row(nodeFact, nowUs));
    }
    text.append('\n').append(facts.facts().size()).append(" facts");
    if (facts.unreadable() > 0) {
      text.append(", ")
          .append(facts.unreadable())
          .append(" unreadable records or facts of unknown kinds");
    }
    return text.toString();
  }

  private static String row(NodeFact nodeFact, long nowUs) {
    Fact fact = nodeFact.fact();
    return row(
        nodeFact.node(),
        fact.kind().wireName(),
        fact.subject().isEmpty() ? "-" : fact.subject(),
        number("%.4g", fact.value()),
        number("%.1f", fact.weight()),
        number("%.1f", ageSeconds(fact, nowUs)));
  }

  private static String row(
      String node, String kind, String subject, String value, String weight, String age) {
    return String.format(
        Locale.ROOT, "%-12s %-12s %-28s %12s %8s %10s", node, kind, subject, value, weight, age);
  }

  private static double ageSeconds(Fact fact, long nowUs) {
    return (nowUs - fact.learnedAtUs()) / MICROSECONDS_PER_SECOND;
  }

  private static String number(String format, double value) {
    return String.format(Locale.ROOT, format, value);
  }
}
