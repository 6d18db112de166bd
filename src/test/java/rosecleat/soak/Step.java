package rosecleat.soak;

/**
 * Something that is done to the node or its peers.
 *
 * @param afterMs how long after the step before it, or after the start of the traffic
 * @param action what is done
 */
record Step(int afterMs, Action action) {
  /** What can be done. */
  enum Action {
    /** SIGHUP with the configuration as it is. */
    RELOAD,
    /** The runtime listens at another address, and SIGHUP says so. */
    MOVE_RUNTIME,
    /** Index and registry listen at other addresses, and SIGHUP says so. */
    MOVE_INDEX_AND_REGISTRY,
    /** SIGTERM; the first one begins the shutdown. */
    TERMINATE,
    /**
     * Another process of the node starts at the same address, and is waited for until it serves.
     */
    START_SUCCESSOR,
    /** SIGTERM to that other process. */
    TERMINATE_SUCCESSOR,
    /** The connection to the runtime breaks. */
    DISCONNECT_RUNTIME,
    /** The connection to the runtime breaks and takes the last commands with it. */
    DISCONNECT_RUNTIME_LOSING_COMMANDS,
    /** The connection to the runtime breaks, and all runs end while it is synchronized. */
    DISCONNECT_RUNTIME_ENDING_RUNS,
    /** The runtime answers nothing until its connection is made again. */
    IGNORE_GAUGE_REQUESTS,
    /** The index breaks, ignores or rejects some calls. */
    FAIL_CALLS,
    /** The registry does not listen. */
    REGISTRY_DOWN,
    /** The registry listens again. */
    REGISTRY_UP,
    /** Many requests at once, from all clients. */
    BURST
  }
}
