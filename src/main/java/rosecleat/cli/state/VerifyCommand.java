package rosecleat.cli.state;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import rosecleat.state.FactStateFactory;
import rosecleat.store.Directory;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryIssue;
import rosecleat.store.RecoveryReport;

/** {@code state verify}: checks every file that a start would use; lists damage. */
@Parameters(
    commandDescription = "check every file that a start would use; exit code 3 if one is damaged")
final class VerifyCommand extends FolderCommand {
  @Override
  CommandResult run(Path path, Directory folder, long nowUs) throws IOException {
    RecoveryReport recovered = RecordStore.inspect(folder, new FactStateFactory());
    if (recovered.unsupportedFormat().isPresent()) {
      return failure(recovered.unsupportedFormat().get().message());
    }
    return CommandResult.output(
        recovered.hasCorruption() ? CommandResult.DAMAGED : CommandResult.SUCCESS,
        printsJson() ? json(path, recovered) : text(path, recovered));
  }

  private static String condition(RecoveryReport recovered) {
    if (recovered.hasCorruption()) {
      return "damaged";
    }
    return recovered.isNewStore() ? "empty" : "whole";
  }

  private static String json(Path path, RecoveryReport recovered) {
    ObjectNode root =
        JSON.createObjectNode()
            .put("folder", path.toString())
            .put("state", condition(recovered))
            .put("entries", recovered.records())
            .put("bytes", recovered.bytes());
    ArrayNode findings = root.putArray("findings");
    for (RecoveryIssue finding : recovered.issues()) {
      findings
          .addObject()
          .put("damage", finding.isCorruption())
          .put("file", finding.file())
          .put("at", finding.offset())
          .put("bytes", finding.bytes())
          .put("what", finding.description());
    }
    return root.toPrettyString();
  }

  private static String text(Path path, RecoveryReport recovered) {
    StringBuilder text = new StringBuilder();
    text.append(path).append(" is ").append(condition(recovered)).append(": ");
    text.append(recovered.records()).append(" entries, ");
    text.append(recovered.bytes()).append(" bytes");
    for (RecoveryIssue finding : recovered.issues()) {
      text.append('\n').append(finding.isCorruption() ? "damage: " : "cut: ").append(finding);
    }
    return text.toString();
  }
}
