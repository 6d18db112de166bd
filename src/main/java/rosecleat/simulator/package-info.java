/** The decisions on the simulator's wire. */
package rosecleat.simulator;
