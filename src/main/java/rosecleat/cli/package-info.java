/** The command line: words, files and exit codes. */
package rosecleat.cli;
