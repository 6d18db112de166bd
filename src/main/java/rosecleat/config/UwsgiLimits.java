package rosecleat.config;

/**
 * Limits of uwsgi connections, in bytes and microseconds.
 *
 * @param packetBytes the maximum size of the variables of a request; default 16 KiB
 * @param bodyBytes the maximum size of a request body; default 64 KiB
 * @param responseBytes the maximum size of a backend response; default 1 MiB
 * @param bufferedResponseBytes the maximum size of all responses that callers have not read yet;
 *     default 8 MiB
 * @param requestTimeoutUs the time within which a complete request must arrive; default 5 s
 * @param stallTimeoutUs how long a caller may read nothing before it is disconnected; default 5 s
 * @param responseTimeoutUs the time within which a caller must read a response; default 30 s
 */
public record UwsgiLimits(
    int packetBytes,
    int bodyBytes,
    int responseBytes,
    int bufferedResponseBytes,
    long requestTimeoutUs,
    long stallTimeoutUs,
    long responseTimeoutUs) {}
