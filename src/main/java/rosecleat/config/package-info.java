/**
 * What the program is told: the node's settings, and the broker's contracts, budgets and
 * descriptions.
 */
package rosecleat.config;
