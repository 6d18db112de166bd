/** The decisions of one server, and the facade through which a host asks for them. */
package rosecleat.policy;
