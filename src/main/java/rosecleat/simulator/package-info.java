/**
 * The policy on the simulator's wire: batches of events on standard input, one reply to each on
 * standard output.
 *
 * <p>{@link rosecleat.simulator.Main} is the command; {@code SimulatorAdapter} keeps a policy for
 * each simulated server; {@code BatchFrame} and {@code EventDecoder} read, {@code ActionEncoder}
 * and {@code ReplyFrame} write. Single-threaded; no state outlives the process, and time comes from
 * the batches alone. It may use {@code rosecleat.policy} and the reader of settings in {@code
 * rosecleat.config}. Begin reading at {@code SimulatorAdapter}.
 */
package rosecleat.simulator;
