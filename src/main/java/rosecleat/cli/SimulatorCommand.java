package rosecleat.cli;

import com.beust.jcommander.Parameters;

/** {@code benchlink}: lets a simulator drive the policy over standard input and output. */
@Parameters(commandDescription = "speak the simulator's wire on standard input and output")
final class SimulatorCommand implements Command {
  @Override
  public int run(Invocation invocation) {
    System.setOut(System.err); // the standard output carries the simulator's protocol alone
    return rosecleat.simulator.Main.run(
        invocation.arguments(), invocation.input(), invocation.output());
  }
}
