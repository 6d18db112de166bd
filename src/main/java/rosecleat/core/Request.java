package rosecleat.core;

import java.util.Map;

/**
 * A request as any front end submits it.
 *
 * @param id the name by which the runner and the downstream client know the request; unique to each
 *     attempt
 * @param arrivedAtUs when the request arrived at this machine, in Unix microseconds
 * @param timeoutUs how long the caller waits, counted from {@code arrivedAtUs}, in microseconds; 0
 *     where the caller did not say
 * @param classIndex the position of the request's class
 * @param className the name of the request's class
 * @param tenantIndex the position of the request's tenant
 * @param callerId identifies the sender
 * @param retry whether the caller marked the request as a retry
 * @param memoryKb the memory reserved for the request, in KB
 * @param rank the request's rank among those of its caller, from 0 to less than 1
 * @param idempotencyKey shared by all attempts of one request; null outside idempotent classes
 * @param readKey identifies what a read is about; 0 for nothing
 * @param body what the runner is given, unchanged
 * @param attributes what else the front end knows and the runner may pass on, by name
 * @param runner executes the request
 * @param responder receives the one response
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
    long readKey,
    byte[] body,
    Map<String, String> attributes,
    Runner runner,
    Responder responder) {}
