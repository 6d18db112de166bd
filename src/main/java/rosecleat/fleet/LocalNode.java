package rosecleat.fleet;

import java.util.List;

/**
 * The identity of this process in its fleet.
 *
 * @param cluster the cluster's name; messages of another cluster are rejected
 * @param id the identity of this start of the process
 * @param endpoint the address at which other members reach this process
 * @param zone the failure domain, empty if there is none
 * @param seeds members to contact while no other member is known
 */
public record LocalNode(
    String cluster, MemberId id, Endpoint endpoint, String zone, List<Endpoint> seeds) {}
