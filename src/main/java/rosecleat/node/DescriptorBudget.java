package rosecleat.node;

/**
 * A division of a process's file descriptors between connections of balancers and connections to
 * the index, each of which carries one call at a time. Neither part has a fixed maximum: a node
 * whose settings allow hundreds of outstanding calls gets enough connections for them, while a node
 * with few descriptors gets fewer. Balancers open connections up to half of the descriptor limit,
 * so they get that many where possible.
 *
 * @param balancers the maximum number of connections of balancers
 * @param index the maximum number of connections to the index
 */
record DescriptorBudget(int balancers, int index) {
  /**
   * Minimum number of descriptors for the runtime, the registry, listeners, the jar file and
   * libraries.
   */
  private static final int MIN_RESERVED = 16;

  /**
   * Number of descriptors reserved for the same purpose, with spare ones, where the limit is high
   * enough.
   */
  private static final int MAX_RESERVED = 32;

  private static final int MIN_INDEX_CONNECTIONS = 4;

  /** Maximum number of connections to the index unless the limit on calls requires more. */
  private static final int DEFAULT_INDEX_CONNECTIONS = 32;

  /** The number of calls varies around its mean, so connections for twice the mean are provided. */
  private static final int CONNECTIONS_PER_MEAN_CALL = 2;

  /**
   * Divides the descriptors. Each part is at least 1.
   *
   * @param maxDescriptors the descriptor limit of the node
   * @param others the number of descriptors that the admin server and the uwsgi frontend use
   * @param meanCalls the mean number of calls that may be outstanding
   * @param sharedWithPeer whether another process of the node uses half of the limit
   */
  static DescriptorBudget of(
      int maxDescriptors, int others, double meanCalls, boolean sharedWithPeer) {
    int own = sharedWithPeer ? maxDescriptors / 2 : maxDescriptors;
    int reserved = Math.max(MIN_RESERVED, Math.min(MAX_RESERVED, own / 2 - MIN_INDEX_CONNECTIONS));
    int available = own - reserved - others;
    double wantedForCalls = Math.ceil(CONNECTIONS_PER_MEAN_CALL * meanCalls);
    int wanted =
        (int) Math.min(Integer.MAX_VALUE, Math.max(DEFAULT_INDEX_CONNECTIONS, wantedForCalls));
    int index = Math.max(MIN_INDEX_CONNECTIONS, Math.min(wanted, available - own / 2));
    return new DescriptorBudget(Math.max(1, available - index), index);
  }
}
