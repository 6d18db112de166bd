/**
 * Load balancing over the instances of a service: selects the instance that receives a request.
 *
 * <p>{@link rosecleat.pool.InstancePool} contains the instances that the routes list and the
 * requests outstanding at each. Its owner updates it when the routes change, and acquires and
 * releases an instance for each request. A pool belongs to the node's event loop. The package does
 * no input or output and uses the Java platform only.
 */
package rosecleat.pool;
