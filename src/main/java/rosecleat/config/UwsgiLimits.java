package rosecleat.config;

/**
 * Bounds of the connections of uwsgi callers, in bytes and microseconds.
 *
 * @param packetBytes the variables of one request, by default 16 KiB
 * @param bodyBytes the body of one request, by default 64 KiB
 * @param responseBytes one response of a backend, by default 1 MiB
 * @param bufferedResponseBytes all responses that callers have not read yet, by default 8 MiB
 * @param requestTimeoutUs the time within which a whole request must arrive, by default 5 s
 * @param stallTimeoutUs the time after which a caller that reads nothing is cut off, by default 5 s
 * @param responseTimeoutUs the time within which a caller must read a response, by default 30 s
 */
public record UwsgiLimits(
    int packetBytes,
    int bodyBytes,
    int responseBytes,
    int bufferedResponseBytes,
    long requestTimeoutUs,
    long stallTimeoutUs,
    long responseTimeoutUs) {}
