/**
 * The life of a request, whatever wire it came by, and the ports through which wires and work reach
 * it.
 */
package rosecleat.core;
