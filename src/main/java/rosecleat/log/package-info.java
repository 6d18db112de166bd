/**
 * The program's logger, which every package with input or output uses.
 *
 * <p>Its state is a bounded queue of lines and a counter of dropped lines. The writer thread, a
 * daemon, takes lines from the queue; all other threads only add lines and never block. The package
 * depends on no other package of the program.
 *
 * <p>Start reading with {@link rosecleat.log.Log}.
 */
package rosecleat.log;
