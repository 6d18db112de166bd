/**
 * Load balancing over the instances of a service: which instance a request goes to.
 *
 * <p>{@link rosecleat.pool.InstancePool} holds the instances that the routes list and the requests
 * outstanding at each; its owner updates it when the routes change, and acquires and releases an
 * instance for each request. A pool belongs to the node's event loop. The package does no input or
 * output and uses the Java platform only.
 */
package rosecleat.pool;
