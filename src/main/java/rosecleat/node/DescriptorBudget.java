package rosecleat.node;

/**
 * A process's descriptors, by what they are for: balancers' connections and those to the index, one
 * call on each. Neither has a fixed bound: a node that may have hundreds of calls out gets
 * connections for them, one with few descriptors fewer. Balancers take up to half of the limit, so
 * that much is theirs where it can be.
 */
record DescriptorBudget(int balancers, int index) {
  /**
   * Links to the runtime and the roster, what listens, the jar, the libraries; and the same with
   * some room.
   */
  private static final int OWN_LEAST = 16;

  private static final int OWN = 32;

  /**
   * Connections to the index: so many at the least, and so many without a share that asks for more.
   */
  private static final int FEWEST = 4;

  private static final int USUAL = 32;

  /**
   * Of {@code sockets} descriptors, of which {@code others} are taken by doors and fronts; {@code
   * callsOut} is the mean of the calls that may be out, {@code two} whether another process of the
   * node has half. All at least 1.
   */
  static DescriptorBudget of(int sockets, int others, double callsOut, boolean two) {
    int half = two ? sockets / 2 : sockets;
    int mine = half - Math.max(OWN_LEAST, Math.min(OWN, half / 2 - FEWEST)) - others;
    int wanted = (int) Math.min(Integer.MAX_VALUE, Math.max(USUAL, Math.ceil(2 * callsOut)));
    int index = Math.max(FEWEST, Math.min(wanted, mine - half / 2));
    return new DescriptorBudget(Math.max(1, mine - index), index);
  }
}
