package rosecleat.net;

import java.net.InetSocketAddress;
import java.util.Objects;
import rosecleat.core.Failure;

/**
 * Connects to one service whose address may change, with one attempt at a time. If the address has
 * changed when an attempt ends, the handler is notified of that, and a connection to the former
 * address is closed without a byte sent. The handler decides when to retry. All methods must be
 * called on the event loop.
 */
public final class Connector {
  /**
   * Receives the outcome of each attempt, on the event loop. Its methods may start the next
   * attempt.
   */
  public interface Handler {
    /** Called when a connection to the current address is established. */
    void connected(Connection connection);

    /**
     * Called when a connection was established to an address that has been replaced since the
     * attempt started. That connection has been closed.
     */
    void connectedToFormerAddress();

    /**
     * Called when no connection could be established.
     *
     * @param addressChanged whether the address has been replaced since the attempt started
     */
    void failed(Failure failure, boolean addressChanged);
  }

  private final EventLoop loop;
  private final long timeoutUs;
  private final ConnectionLimits limits;
  private final Handler handler;

  /** Null if the service has no address. */
  private InetSocketAddress address;

  private boolean connecting;

  /**
   * Creates a connector.
   *
   * @param address the service's address; null if there is none, in which case {@link #connect}
   *     must not be called until {@link #setAddress} has set one
   */
  public Connector(
      EventLoop loop,
      InetSocketAddress address,
      long timeoutUs,
      ConnectionLimits limits,
      Handler handler) {
    this.loop = loop;
    this.address = address;
    this.timeoutUs = timeoutUs;
    this.limits = limits;
    this.handler = handler;
  }

  /** Returns the address that the next attempt connects to, or null. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Sets the address that later attempts connect to.
   *
   * @return whether it differs from the previous address
   */
  public boolean setAddress(InetSocketAddress newAddress) {
    boolean changed = !Objects.equals(newAddress, address);
    address = newAddress;
    return changed;
  }

  /** Returns whether an attempt is in progress. */
  public boolean connecting() {
    return connecting;
  }

  /** Starts an attempt unless one is in progress. The address must not be null. */
  public void connect() {
    if (connecting) {
      return;
    }
    connecting = true;
    InetSocketAddress target = address;
    Connection.connect(
        loop,
        target,
        timeoutUs,
        limits,
        new ConnectHandler() {
          @Override
          public void connected(Connection connection) {
            connecting = false;
            if (target.equals(address)) {
              handler.connected(connection);
            } else {
              connection.abort("the address has changed");
              handler.connectedToFormerAddress();
            }
          }

          @Override
          public void failed(Failure failure) {
            connecting = false;
            handler.failed(failure, !target.equals(address));
          }
        });
  }
}
