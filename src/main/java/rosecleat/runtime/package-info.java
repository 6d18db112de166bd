/** The link to the machine's runtime, which does the work. */
package rosecleat.runtime;
