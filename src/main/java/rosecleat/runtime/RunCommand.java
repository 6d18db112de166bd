package rosecleat.runtime;

/**
 * A command for a run.
 *
 * @param runId the run
 * @param line the encoded command
 * @param recovery what to do where a broken connection may have lost it
 * @param sequence its position among all commands sent; 0 where it was not sent yet
 */
record RunCommand(String runId, String line, Recovery recovery, long sequence) {
  /** What to do about a command where nothing proves whether it has arrived. */
  enum Recovery {
    /** Send it again: the runtime may receive it twice without harm. */
    RESEND,
    /** End the run as one that may have executed: a repeat could execute it twice. */
    END_RUN,
    /** Cancel the run: a repeat could be taken for something else. */
    CANCEL_RUN
  }

  /** A command that was not sent yet. */
  RunCommand(String runId, String line, Recovery recovery) {
    this(runId, line, recovery, 0);
  }

  RunCommand withSequence(long newSequence) {
    return new RunCommand(runId, line, recovery, newSequence);
  }
}
