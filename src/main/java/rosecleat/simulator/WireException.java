package rosecleat.simulator;

/** Input that is not the wire; its message is the one line the process ends with. */
final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message, null, false, false);
  }
}
