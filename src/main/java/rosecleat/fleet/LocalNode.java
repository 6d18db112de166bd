package rosecleat.fleet;

import java.util.List;

/**
 * The identity of this process in its fleet.
 *
 * @param cluster the cluster's name; messages of another cluster are rejected
 * @param id this start of this process
 * @param endpoint where other members reach this process
 * @param zone the failure domain, empty where there is none
 * @param seeds members to contact while no other member is known
 */
public record LocalNode(
    String cluster, MemberId id, Endpoint endpoint, String zone, List<Endpoint> seeds) {}
