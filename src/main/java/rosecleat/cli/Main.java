package rosecleat.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import rosecleat.config.BrokerConfig;
import rosecleat.config.BrokerSchema;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;
import rosecleat.config.Standalone;
import rosecleat.node.Rehearsal;
import rosecleat.node.Serving;
import rosecleat.node.Setup;

/**
 * The command line. Wrong words and wrong configurations end with one line on standard error and
 * exit code 2.
 */
public final class Main {
  /** The version that {@code version} prints; the jar's manifest has it. */
  private static final String UNPACKED = "unpacked";

  @Parameters(
      commandDescription =
          "run one node, configured by PROXY_CONFIG or, without it, by the broker's file alone")
  private static final class Serve {
    @Parameter(names = "--broker", description = "the file that turns on the uwsgi front")
    private String broker;

    @Parameter(names = "--counters", description = "log the counters every so many seconds")
    private int countersEvery;

    Setup setup(Map<String, String> env) {
      String platform = env.get("PROXY_CONFIG");
      NodeConfig config =
          broker != null && (platform == null || platform.isBlank())
              ? Standalone.read(Path.of(broker))
              : NodeConfig.fromEnvironment(env);
      return new Setup(config, broker(config));
    }

    private BrokerConfig broker(NodeConfig config) {
      if (broker == null) {
        if (config.runtime() == null) {
          throw new ConfigException(
              "the configuration names no runtime, and there is no broker's file");
        }
        return null;
      }
      return BrokerConfig.read(Path.of(broker), config.start());
    }
  }

  @Parameters(commandDescription = "speak the simulator's wire on standard input and output")
  private static final class Benchlink {}

  @Parameters(commandDescription = "read the configuration and say whether it can be used")
  private static final class Check {
    @ParametersDelegate private final Serve as = new Serve();
  }

  @Parameters(
      commandDescription = "serve made-up requests on loopback, for the build's archive of classes")
  private static final class Rehearse {}

  @Parameters(commandDescription = "print the JSON Schema of the broker's file")
  private static final class Schema {}

  @Parameters(commandDescription = "show, verify or compact what a node keeps in a folder")
  private static final class State {}

  @Parameters(commandDescription = "print the version")
  private static final class Version {}

  @Parameters(commandDescription = "print this help")
  private static final class Help {}

  private Main() {}

  /** Runs a sub-command and exits with its code. */
  public static void main(String[] args) {
    // taken from the descriptors, so that nothing else in the process can write to standard output
    InputStream in = new FileInputStream(FileDescriptor.in);
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    int code = run(args, System.getenv(), in, out);
    if (code != Serving.GOES_ON) {
      System.exit(code);
    }
  }

  /**
   * Runs a sub-command with this environment and these streams; returns its exit code, or that the
   * process goes on.
   */
  public static int run(String[] args, Map<String, String> env, InputStream in, OutputStream out) {
    Serve serve = new Serve();
    Check check = new Check();
    JCommander commands =
        JCommander.newBuilder()
            .programName("rosecleat")
            .addCommand("serve", serve)
            .addCommand("benchlink", new Benchlink())
            .addCommand("check", check)
            .addCommand("rehearse", new Rehearse())
            .addCommand("schema", new Schema())
            .addCommand("state", new State())
            .addCommand("version", new Version())
            .addCommand("help", new Help())
            .build();
    try {
      if (args.length > 0 && args[0].equals("state")) { // its own commands are loaded only here
        StateCommands.addTo(commands.getCommands().get("state"));
      }
      commands.parse(args);
      String word = commands.getParsedCommand();
      if (word == null) {
        throw new ParameterException(
            "a command is needed: serve, benchlink, check, rehearse, schema, state, version or"
                + " help");
      }
      switch (word) {
        case "serve" -> {
          return Serving.start(
              serve.setup(env), () -> serve.setup(env), shared(env), serve.countersEvery);
        }
        case "benchlink" -> {
          System.setOut(System.err);
          return rosecleat.simulator.Main.run(args, in, out);
        }
        case "check" -> {
          Setup setup = check.as.setup(env);
          print(
              out,
              "the configuration of "
                  + setup.node().name()
                  + " can be used"
                  + (setup.broker() == null
                      ? ""
                      : ", and so can its " + setup.broker().operations().size() + " contracts"));
        }
        case "rehearse" -> {
          return Rehearsal.run(NodeConfig.fromEnvironment(env)) ? 0 : 1;
        }
        case "schema" -> print(out, BrokerSchema.text().strip());
        case "state" -> {
          StateCommands.Result result =
              new StateCommands(System.currentTimeMillis() * 1000)
                  .run(commands.getCommands().get("state"));
          if (result.code() == StateCommands.UNUSABLE && result.text().startsWith("rosecleat: ")) {
            System.err.println(oneLine(result.text()));
          } else {
            print(out, result.text());
          }
          return result.code();
        }
        case "version" -> print(out, "rosecleat " + version());
        default -> {
          StringBuilder text = new StringBuilder();
          commands.getUsageFormatter().usage(text);
          print(out, text.toString().strip());
        }
      }
      return 0;
    } catch (ParameterException | ConfigException e) {
      System.err.println("rosecleat: " + oneLine(e.getMessage()));
      return 2;
    } catch (IOException e) {
      System.err.println("rosecleat: " + oneLine(String.valueOf(e.getMessage())));
      return 2;
    }
  }

  /** The folder that all processes of a node share; null where none is named. */
  private static Path shared(Map<String, String> env) {
    String folder = env.get("TMPDIR");
    return folder == null || folder.isBlank() ? null : Path.of(folder);
  }

  private static String version() {
    String packed = Main.class.getPackage().getImplementationVersion();
    return packed == null ? UNPACKED : packed;
  }

  private static String oneLine(String text) {
    return text.replaceAll("\\s*\\R\\s*", " ");
  }

  private static void print(OutputStream out, String text) throws IOException {
    out.write((text + System.lineSeparator()).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    out.flush();
  }
}
