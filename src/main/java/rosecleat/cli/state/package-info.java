/**
 * The commands {@code state show|verify|compact}, by which operators inspect or compact the state
 * folder of a node.
 *
 * <p>The commands are stateless and run on the main thread of a process that does not serve
 * requests. They use {@code rosecleat.store} and {@code rosecleat.state} to read the folder, and
 * Jackson and JCommander for output and options. A serving node must not load this package: its
 * only entry point is {@code rosecleat.cli.StateCommand}, which uses the package if the command
 * line starts with {@code state}.
 *
 * <p>Entry point: {@link rosecleat.cli.state.StateCommands}.
 */
package rosecleat.cli.state;
