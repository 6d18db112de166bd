package rosecleat.runtime;

/**
 * A command for a run.
 *
 * @param runId the run
 * @param line the encoded command
 * @param repeatable whether the runtime may receive it twice without harm
 * @param sentAtUs when it was sent, or queued where it was not, by the node's clock
 */
record RunCommand(String runId, String line, boolean repeatable, long sentAtUs) {
  RunCommand sentAt(long nowUs) {
    return new RunCommand(runId, line, repeatable, nowUs);
  }
}
