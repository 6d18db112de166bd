/** The command line, and the process round a node. */
package rosecleat.cli;
