/**
 * Drives the membership protocol over sockets: datagrams for probes and gossip, TCP connections for
 * exchanges of larger amounts of data.
 *
 * <p>Start reading at {@link rosecleat.fleet.transport.MembershipService}: its one thread owns the
 * protocol, the sockets and all state of this package; other threads submit tasks and read the
 * latest view. {@code FleetSockets} binds the UDP and TCP sockets, {@code DatagramTransport} sends
 * under a rate limit, {@code ExchangeManager} runs the connections, whose frames {@code
 * FrameChannel} reads and writes. Incarnations are not stored: the epoch of a start is the time of
 * day. The package depends on {@code rosecleat.fleet}, the log and the Java platform only.
 */
package rosecleat.fleet.transport;
