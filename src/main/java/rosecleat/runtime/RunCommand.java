package rosecleat.runtime;

/**
 * A command for a run.
 *
 * @param runId the run
 * @param line the encoded command
 * @param recovery what to do if a broken connection may have lost the command
 * @param sequence the command's position among all commands sent; 0 if it has not been sent
 */
record RunCommand(String runId, String line, Recovery recovery, long sequence) {
  /** What to do with a command if it is unknown whether it has arrived. */
  enum Recovery {
    /**
     * Send the command again: it is harmless if the runtime receives it twice, because the command
     * has no further effect or the request may run twice.
     */
    RESEND,
    /** End the run as one that may have executed: repeating the command could execute it twice. */
    END_RUN,
    /**
     * Cancel the run: the runtime could apply a repeated command to a different downstream call.
     */
    CANCEL_RUN
  }

  /** Creates a command that has not been sent. */
  RunCommand(String runId, String line, Recovery recovery) {
    this(runId, line, recovery, 0);
  }

  RunCommand withSequence(long newSequence) {
    return new RunCommand(runId, line, recovery, newSequence);
  }
}
