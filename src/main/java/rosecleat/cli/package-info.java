/**
 * The command line interface: one class per command, and the entry point that parses the command
 * line and runs the command.
 *
 * <p>The program's command line, environment and exit codes are handled here; other packages get
 * what they need as arguments, except for the log on standard error, the final halt of a node, and
 * the tools with a main method of their own. All commands run on the main thread; a node that
 * {@code serve} has started continues on its own threads. A command may use every other package,
 * and no other package may use this one. On an error, the program prints one line to standard error
 * and exits with code 2.
 *
 * <p>Entry point: {@link rosecleat.cli.Main}.
 */
package rosecleat.cli;
