package rosecleat.fleet.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rosecleat.fleet.Endpoint;

/** Sends datagrams under a rate limit, and receives datagrams. */
final class DatagramTransport {
  /** The number of datagrams that are handled before other sockets and timers are served. */
  private static final int MAX_RECEIVED_AT_ONCE = 512;

  /** The send rate limit, whatever amount of updates is queued; also the largest burst. */
  private static final long MAX_BYTES_PER_SECOND = 8 << 20;

  private static final long US_PER_SECOND = 1_000_000;

  private final FleetSockets sockets;
  private final MonotonicClock clock;
  private final CounterBuffer counters;
  private final ByteBuffer buffer;
  private long sendBudgetBytes = MAX_BYTES_PER_SECOND;
  private long budgetUpdatedUs;

  /**
   * Creates a transport that receives into a buffer; the buffer may be shared, since its contents
   * are not used between two calls.
   */
  DatagramTransport(
      FleetSockets sockets, MonotonicClock clock, CounterBuffer counters, ByteBuffer buffer) {
    this.sockets = sockets;
    this.clock = clock;
    this.counters = counters;
    this.buffer = buffer;
  }

  /** Sends a datagram; drops and counts it if the rate limit or the socket does not permit it. */
  void send(Endpoint destination, byte[] payload) {
    refillBudget();
    if (sendBudgetBytes < payload.length) {
      counters.increment(TransportCounter.DATAGRAMS_RATE_LIMITED);
      return;
    }
    sendBudgetBytes -= payload.length;
    try {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getByName(destination.host()), destination.port());
      if (sockets.datagrams().send(ByteBuffer.wrap(payload), address) == 0) {
        counters.increment(TransportCounter.DATAGRAMS_BUFFER_FULL);
      } else {
        counters.increment(TransportCounter.DATAGRAMS_SENT);
        counters.add(TransportCounter.DATAGRAM_BYTES, payload.length);
      }
    } catch (IOException | RuntimeException e) {
      counters.increment(TransportCounter.DATAGRAMS_FAILED);
    }
  }

  private void refillBudget() {
    long nowUs = clock.nowUs();
    long refill = (nowUs - budgetUpdatedUs) * MAX_BYTES_PER_SECOND / US_PER_SECOND;
    sendBudgetBytes = Math.min(MAX_BYTES_PER_SECOND, sendBudgetBytes + refill);
    budgetUpdatedUs = nowUs;
  }

  /** Passes received datagrams to the handler, up to {@link #MAX_RECEIVED_AT_ONCE}. */
  void receive(Consumer<byte[]> handler) throws IOException {
    for (int received = 0; received < MAX_RECEIVED_AT_ONCE; received++) {
      buffer.clear();
      try {
        if (sockets.datagrams().receive(buffer) == null) {
          return;
        }
      } catch (PortUnreachableException e) {
        continue; // ICMP error for an earlier datagram; if it was a probe, that times out
      }
      buffer.flip();
      byte[] payload = new byte[buffer.remaining()];
      buffer.get(payload);
      counters.increment(TransportCounter.DATAGRAMS_RECEIVED);
      handler.accept(payload);
    }
  }
}
