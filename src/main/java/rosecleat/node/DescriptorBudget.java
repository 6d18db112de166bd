package rosecleat.node;

/**
 * A division of a process's descriptors between balancers' connections and those to the index, on
 * which one call is made at a time. Neither has a fixed bound: a node that may have hundreds of
 * calls outstanding gets connections for them, one with few descriptors gets fewer. Balancers open
 * connections up to half of the descriptor limit, so that many are theirs where possible.
 *
 * @param balancers the most connections of balancers
 * @param index the most connections to the index
 */
record DescriptorBudget(int balancers, int index) {
  /** Descriptors for runtime, registry, listeners, jar and libraries: the least that works. */
  private static final int MIN_RESERVED = 16;

  /** The same with some room. */
  private static final int MAX_RESERVED = 32;

  private static final int MIN_INDEX_CONNECTIONS = 4;

  /** Connections to the index unless the limit on calls asks for more. */
  private static final int DEFAULT_INDEX_CONNECTIONS = 32;

  /** Calls vary around their mean, so connections for twice the mean are kept. */
  private static final int CONNECTIONS_PER_MEAN_CALL = 2;

  /**
   * Divides the descriptors; each part is at least 1.
   *
   * @param maxDescriptors the descriptors of the node
   * @param others how many of them admin server and uwsgi front take
   * @param meanCalls the mean number of calls that may be outstanding
   * @param sharedWithPeer whether another process of the node has half of them
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
