package rosecleat.config;

/**
 * The names of the uwsgi variables that callers use beside the protocol's own.
 *
 * @param team names the team, whose budget the request is charged to
 * @param deadlineMs the time that the caller waits, in milliseconds
 * @param idempotencyKey the key of a request that must take effect once
 * @param retry marks a retry
 */
public record UwsgiVariables(String team, String deadlineMs, String idempotencyKey, String retry) {}
