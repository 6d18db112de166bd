package rosecleat.fleet.transport;

/** What the transport counts, each with the name that operators see. */
enum TransportCounter {
  DATAGRAMS_RECEIVED("datagrams.in"),
  DATAGRAMS_SENT("datagrams.out"),
  /** Bytes of the datagrams that were sent. */
  DATAGRAM_BYTES("datagram.bytes"),
  /** Datagrams that the rate limit dropped. */
  DATAGRAMS_RATE_LIMITED("datagrams.held"),
  /** Datagrams that the socket's buffer had no space for. */
  DATAGRAMS_BUFFER_FULL("datagrams.full"),
  DATAGRAMS_FAILED("datagrams.failed"),
  EXCHANGES_COMPLETED("exchanges"),
  /** Bytes of the frames that were sent. */
  EXCHANGE_BYTES("exchange.bytes"),
  EXCHANGES_BROKEN("exchange.broken"),
  EXCHANGES_STALLED("exchange.stalled"),
  /** Connections that were closed since too many are open. */
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
