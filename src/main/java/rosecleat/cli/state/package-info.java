/**
 * The commands {@code state show|verify|compact}, which let operators inspect the folder where a
 * node keeps its state.
 *
 * <p>They keep no state of their own and run on the main thread of a process that serves nothing.
 * They use {@code rosecleat.store} and {@code rosecleat.state} to read the folder, and Jackson and
 * JCommander for output and options. A serving node must not load this package: it is reached only
 * through {@code rosecleat.cli.StateCommand} once the command line names {@code state}.
 *
 * <p>Begin reading at {@link rosecleat.cli.state.StateCommands}.
 */
package rosecleat.cli.state;
