/**
 * Connects the policy to a simulator: the simulator sends batches of events on standard input, and
 * this process writes one reply to each batch on standard output.
 *
 * <p>{@link rosecleat.simulator.Main} is the command; {@code SimulatorAdapter} has a policy for
 * each simulated server; {@code BatchFrame} and {@code EventDecoder} decode batches, {@code
 * ActionEncoder} and {@code ReplyFrame} encode replies. The package is single-threaded. No state
 * outlives the process, and the only source of time is the batches. The package may use {@code
 * rosecleat.policy} and the reader of settings in {@code rosecleat.config}. Start reading at {@code
 * SimulatorAdapter}.
 */
package rosecleat.simulator;
