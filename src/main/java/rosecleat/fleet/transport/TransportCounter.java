package rosecleat.fleet.transport;

/** The events that the transport counts, with the counter names that operators see. */
enum TransportCounter {
  DATAGRAMS_RECEIVED("datagrams.in"),
  DATAGRAMS_SENT("datagrams.out"),
  /** Bytes of the sent datagrams. */
  DATAGRAM_BYTES("datagram.bytes"),
  /** Datagrams dropped by the rate limit. */
  DATAGRAMS_RATE_LIMITED("datagrams.held"),
  /** Datagrams dropped because the socket's buffer was full. */
  DATAGRAMS_BUFFER_FULL("datagrams.full"),
  DATAGRAMS_FAILED("datagrams.failed"),
  EXCHANGES_COMPLETED("exchanges"),
  /** Bytes of the sent frames. */
  EXCHANGE_BYTES("exchange.bytes"),
  EXCHANGES_BROKEN("exchange.broken"),
  EXCHANGES_STALLED("exchange.stalled"),
  /** Connections closed because too many are open. */
  EXCHANGES_OVER_LIMIT("exchange.full"),
  /** Exchanges for which no connection could be opened. */
  EXCHANGES_NOT_OPENED("exchange.refused"),
  /** Events whose handling failed. */
  FAILURES("failures");

  private final String counterName;

  TransportCounter(String counterName) {
    this.counterName = counterName;
  }

  String counterName() {
    return counterName;
  }
}
