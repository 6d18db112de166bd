/**
 * The command line interface: one class per command, and the entry point that parses the command
 * line and runs the command.
 *
 * <p>Only this package accesses the arguments, environment, standard streams and exit code of the
 * process. All commands run on the main thread; a node that {@code serve} has started continues on
 * its own threads. A command may use every other package, and no other package may use this one. On
 * an error, the program prints one line to standard error and exits with code 2.
 *
 * <p>Entry point: {@link rosecleat.cli.Main}.
 */
package rosecleat.cli;
