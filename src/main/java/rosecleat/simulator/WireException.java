package rosecleat.simulator;

/**
 * Signals input that violates the simulator's protocol. The process prints the message as its only
 * error line and exits.
 */
final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message, null, false, false);
  }
}
