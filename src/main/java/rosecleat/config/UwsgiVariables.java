package rosecleat.config;

/**
 * The names of the uwsgi variables that callers use in addition to those of the protocol.
 *
 * @param team the variable with the team whose budget the request is charged to
 * @param deadlineMs the variable with the time that the caller waits, in milliseconds
 * @param idempotencyKey the variable with the idempotency key of a request that must take effect
 *     only once
 * @param retry the variable that marks a retry
 */
public record UwsgiVariables(String team, String deadlineMs, String idempotencyKey, String retry) {}
