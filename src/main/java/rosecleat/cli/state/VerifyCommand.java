package rosecleat.cli.state;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import rosecleat.state.FactOwner;
import rosecleat.store.Disk;
import rosecleat.store.Finding;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/** {@code state verify}: whether every file of the folder can be read, and where one cannot. */
@Parameters(commandDescription = "check every file; exit code 3 where something is damaged")
final class VerifyCommand extends FolderCommand {
  @Override
  CommandResult run(Path path, Disk folder, long nowUs) throws IOException {
    Recovered recovered = Store.look(folder, new FactOwner());
    if (recovered.refusal() != null) {
      return failure(recovered.refusal());
    }
    return CommandResult.output(
        recovered.damaged() ? CommandResult.DAMAGED : CommandResult.SUCCESS,
        printsJson() ? json(path, recovered) : text(path, recovered));
  }

  private static String condition(Recovered recovered) {
    if (recovered.damaged()) {
      return "damaged";
    }
    return recovered.fresh() ? "empty" : "whole";
  }

  private static String json(Path path, Recovered recovered) {
    ObjectNode root =
        JSON.createObjectNode()
            .put("folder", path.toString())
            .put("state", condition(recovered))
            .put("entries", recovered.entries())
            .put("bytes", recovered.bytes());
    ArrayNode findings = root.putArray("findings");
    for (Finding finding : recovered.findings()) {
      findings
          .addObject()
          .put("damage", finding.damage())
          .put("file", finding.file())
          .put("at", finding.at())
          .put("bytes", finding.bytes())
          .put("what", finding.what());
    }
    return root.toPrettyString();
  }

  private static String text(Path path, Recovered recovered) {
    StringBuilder text = new StringBuilder();
    text.append(path).append(" is ").append(condition(recovered)).append(": ");
    text.append(recovered.entries()).append(" entries, ");
    text.append(recovered.bytes()).append(" bytes");
    for (Finding finding : recovered.findings()) {
      text.append('\n').append(finding.damage() ? "damage: " : "cut: ").append(finding);
    }
    return text.toString();
  }
}
