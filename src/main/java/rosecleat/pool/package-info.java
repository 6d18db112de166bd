/**
 * Which instance of a service takes a request: decisions on what is out at each, free of input and
 * output.
 */
package rosecleat.pool;
