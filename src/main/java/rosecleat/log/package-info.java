/** The program's logger. */
package rosecleat.log;
