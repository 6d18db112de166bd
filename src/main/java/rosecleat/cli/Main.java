package rosecleat.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import rosecleat.config.ConfigException;
import rosecleat.node.NodeProcess;

/**
 * The entry point of the program: parses the command line and runs the requested command. If the
 * command line or the configuration is invalid, the program prints one line to standard error and
 * exits with code 2.
 */
public final class Main {
  private static final String COMMAND_NEEDED =
      "no command given, expected serve, benchlink, check, rehearse, schema, state, version or"
          + " help";

  private Main() {}

  /** Runs a command and exits with its exit code, unless the process continues to run. */
  public static void main(String[] args) {
    // raw descriptors, so that System.out can be redirected and only commands write to the output
    InputStream input = new FileInputStream(FileDescriptor.in);
    OutputStream output = new FileOutputStream(FileDescriptor.out);
    int exitCode = run(args, System.getenv(), input, output);
    if (exitCode != NodeProcess.KEEPS_RUNNING) {
      System.exit(exitCode);
    }
  }

  /**
   * Runs a command with the given environment and streams; errors are printed to {@link
   * System#err}.
   *
   * @return the exit code, or {@link NodeProcess#KEEPS_RUNNING} if the process continues to run
   */
  public static int run(
      String[] args, Map<String, String> environment, InputStream input, OutputStream output) {
    JCommander parser = newParser();
    try {
      Command command = parse(parser, args);
      return command.run(new Invocation(args, parser, environment, input, output));
    } catch (ParameterException | ConfigException e) {
      ErrorLine.print(e.getMessage());
    } catch (IOException e) {
      ErrorLine.print(String.valueOf(e.getMessage()));
    }
    return Command.UNUSABLE;
  }

  private static JCommander newParser() {
    return JCommander.newBuilder()
        .programName("rosecleat")
        .addCommand("serve", new ServeCommand())
        .addCommand("benchlink", new SimulatorCommand())
        .addCommand("check", new CheckCommand())
        .addCommand("rehearse", new RehearseCommand())
        .addCommand("schema", new SchemaCommand())
        .addCommand(StateCommand.NAME, new StateCommand())
        .addCommand("version", new VersionCommand())
        .addCommand("help", new HelpCommand())
        .build();
  }

  private static Command parse(JCommander parser, String[] args) {
    if (args.length > 0 && args[0].equals(StateCommand.NAME)) {
      // only if needed, as this loads the classes of the subcommands
      StateCommand.addSubcommands(parser);
    }
    parser.parse(args);
    String name = parser.getParsedCommand();
    if (name == null) {
      throw new ParameterException(COMMAND_NEEDED);
    }
    return (Command) parser.getCommands().get(name).getObjects().get(0);
  }
}
