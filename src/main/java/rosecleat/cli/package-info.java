/**
 * The command line: one class for each command, and the entry point that parses and runs them.
 *
 * <p>It is the only package that knows the process: its arguments, environment, standard streams
 * and exit codes. Everything runs on the main thread; a node that {@code serve} has started goes on
 * with threads of its own. A command may use every other package, and no other package may use this
 * one. Each error ends with one line on standard error and exit code 2.
 *
 * <p>Begin reading at {@link rosecleat.cli.Main}.
 */
package rosecleat.cli;
