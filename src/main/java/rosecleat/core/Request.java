package rosecleat.core;

import java.util.Map;

/**
 * A request as any front hands it over.
 *
 * @param id the name that the runner and the ledger know it by; new with every try
 * @param atUs when it came to the machine, Unix microseconds
 * @param waitUs how long its caller waits from {@code atUs}; 0 where the caller did not say
 * @param klass the position of its class
 * @param kind the name of its class
 * @param tenant the position of its tenant
 * @param caller the number of whoever sent it
 * @param retry whether it is marked as a further try
 * @param kb the memory booked for it
 * @param rank its rank, from 0 to under 1
 * @param once what all tries of one request share, null outside keyed classes
 * @param key what a read is about, 0 for nothing
 * @param body what the runner is given, unchanged
 * @param attributes what else its front knows and its runner may pass on, by name
 * @param runner what does its work
 * @param front where its one answer goes
 */
public record Request(
    String id,
    long atUs,
    long waitUs,
    int klass,
    String kind,
    int tenant,
    long caller,
    boolean retry,
    double kb,
    double rank,
    String once,
    long key,
    byte[] body,
    Map<String, String> attributes,
    Runner runner,
    Responder front) {}
