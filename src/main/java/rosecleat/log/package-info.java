/**
 * The program's logger, written to by every package that does input or output.
 *
 * <p>Its state is a bounded queue of lines and a counter of dropped ones. The writer thread, a
 * daemon, takes lines from the queue; all other threads only add to it and never wait. The package
 * uses nothing of the program.
 *
 * <p>Begin reading at {@link rosecleat.log.Log}.
 */
package rosecleat.log;
