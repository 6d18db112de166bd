package rosecleat.core;

import java.util.Map;
import java.util.Optional;

/**
 * A request as submitted by a frontend.
 *
 * @param id identifies the request to the runner and the downstream client; unique to each attempt
 * @param arrivedAtUs when the request arrived at this machine, in Unix microseconds
 * @param timeoutUs how long the caller waits, counted from {@code arrivedAtUs}, in microseconds; 0
 *     if the caller set no timeout
 * @param classIndex the index of the request's class
 * @param className the name of the request's class
 * @param tenantIndex the index of the request's tenant
 * @param callerId identifies the caller to the policy
 * @param retry whether the caller marked the request as a retry
 * @param memoryKb the memory reserved for the request, in KB
 * @param rank the request's rank among the requests of its caller, from 0 (inclusive) to 1
 *     (exclusive)
 * @param idempotencyKey shared by all attempts of one request; null outside idempotent classes
 * @param identity identifies all attempts of one request; present if the class is idempotent, and
 *     also if the caller sends an idempotency key although the class is not idempotent now
 * @param readKey equal for reads that may share one result; 0 if absent
 * @param body the body, passed to the runner unchanged
 * @param attributes further values by name that the frontend provides and the runner may forward
 * @param runner executes the request
 * @param responder receives the response
 */
public record Request(
    String id,
    long arrivedAtUs,
    long timeoutUs,
    int classIndex,
    String className,
    int tenantIndex,
    long callerId,
    boolean retry,
    double memoryKb,
    double rank,
    String idempotencyKey,
    Optional<RequestIdentity> identity,
    long readKey,
    byte[] body,
    Map<String, String> attributes,
    Runner runner,
    Responder responder) {}
