package rosecleat.net;

import java.net.InetSocketAddress;
import java.util.Objects;
import rosecleat.core.Failure;

/**
 * Connects to one service whose address may change, with one attempt at a time. An attempt that
 * ends after the address has changed is reported as such, and its connection is closed with nothing
 * sent on it. When to retry is up to the handler. For the loop alone.
 */
public final class Connector {
  /** Receives the outcome of each attempt, on the loop; the next attempt may begin inside it. */
  public interface Handler {
    /** Connected to the current address. */
    void connected(Connection connection);

    /** Connected, but to an address that has been replaced since; that connection is closed. */
    void connectedToFormerAddress();

    /**
     * Not connected.
     *
     * @param addressChanged whether the attempt was for an address that has been replaced since
     */
    void failed(Failure failure, boolean addressChanged);
  }

  private final EventLoop loop;
  private final long timeoutUs;
  private final ConnectionLimits limits;
  private final Handler handler;

  /** Null where there is no such service. */
  private InetSocketAddress address;

  private boolean connecting;

  /** Creates a connector; {@code address} may be null, until when nothing can be connected. */
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

  /** Returns the address of later attempts; null for none. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Sets the address of later attempts.
   *
   * @return whether it differs from the one before
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

  /** Begins an attempt, unless one is in progress; the address must not be null. */
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
