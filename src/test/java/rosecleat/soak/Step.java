package rosecleat.soak;

/**
 * A step of a run, which acts on the node or its peers.
 *
 * @param afterMs the delay after the previous step, or after the start of the traffic (ms)
 * @param action the action
 */
record Step(int afterMs, Action action) {
  /** The possible actions. */
  enum Action {
    /** Sends SIGHUP with an unchanged configuration. */
    RELOAD,
    /** Moves the runtime to another address and reloads the configuration with SIGHUP. */
    MOVE_RUNTIME,
    /** Moves index and registry to other addresses and reloads the configuration with SIGHUP. */
    MOVE_INDEX_AND_REGISTRY,
    /** Sends SIGTERM; the first one starts the shutdown. */
    TERMINATE,
    /**
     * Starts a second process of the node on the same address and waits until it serves requests.
     */
    START_SUCCESSOR,
    /** Sends SIGTERM to the second process. */
    TERMINATE_SUCCESSOR,
    /** Closes the connection to the runtime. */
    DISCONNECT_RUNTIME,
    /** Closes the connection to the runtime, which loses the last commands. */
    DISCONNECT_RUNTIME_LOSING_COMMANDS,
    /** Closes the connection to the runtime; all runs end while it is synchronized again. */
    DISCONNECT_RUNTIME_ENDING_RUNS,
    /** Leaves gauge requests unanswered until the connection to the runtime is made again. */
    IGNORE_GAUGE_REQUESTS,
    /** Has the index disconnect, ignore or reject some calls. */
    FAIL_CALLS,
    /** Stops the registry. */
    REGISTRY_DOWN,
    /** Starts the registry again. */
    REGISTRY_UP,
    /** Sends many requests at once from all clients. */
    BURST
  }
}
