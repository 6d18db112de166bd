package rosecleat.cli;

import com.beust.jcommander.Parameters;

/** {@code benchlink}: runs the policy for a simulator, connected by standard input and output. */
@Parameters(commandDescription = "run the policy for a simulator over standard input and output")
final class SimulatorCommand implements Command {
  @Override
  public int run(Invocation invocation) {
    System.setOut(System.err); // standard output is reserved for the simulator's protocol
    return rosecleat.simulator.Main.run(
        invocation.arguments(), invocation.input(), invocation.output());
  }
}
