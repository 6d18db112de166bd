package rosecleat.simulator;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** The command line: {@code benchlink} speaks the simulator's wire on standard input and output. */
public final class Main {
  private Main() {}

  /** Starts the adapter; see {@link #run}. */
  public static void main(String[] args) {
    // Taken from the descriptors so that nothing else in the process can write to standard output.
    InputStream in = new FileInputStream(FileDescriptor.in);
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    System.setOut(System.err);
    System.exit(run(args, in, out));
  }

  /**
   * Returns the exit code: 0 at the end of the input, 2 for wrong words or wrong input, with a line
   * on standard error.
   */
  public static int run(String[] args, InputStream in, OutputStream out) {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println("usage: java -jar rosecleat.jar benchlink");
      return 2;
    }
    try {
      new SimulatorAdapter(in, out).serve();
      return 0;
    } catch (WireException e) {
      System.err.println("rosecleat: " + e.getMessage());
      return 2;
    } catch (IOException e) {
      System.err.println("rosecleat: input or output failed: " + e.getMessage());
      return 2;
    }
  }
}
