package rosecleat.simulator;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** The command {@code benchlink}, which serves the simulator on standard input and output. */
public final class Main {
  private Main() {}

  /** Runs the command and exits the process; see {@link #run}. */
  public static void main(String[] args) {
    // The adapter uses the file descriptors and System.out is redirected to standard error, so that
    // no other code in this process can write to standard output.
    InputStream in = new FileInputStream(FileDescriptor.in);
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    System.setOut(System.err);
    System.exit(run(args, in, out));
  }

  /**
   * Serves the simulator until the input ends.
   *
   * @return the exit code: 0 at the end of the input; 2 for invalid arguments or input, or for an
   *     I/O error, with one line on standard error
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
      System.err.println("rosecleat: I/O with the simulator failed: " + e.getMessage());
      return 2;
    }
  }
}
