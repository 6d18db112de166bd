/**
 * What was learnt, as facts: how they age, which are dropped, and how two of one kind are joined.
 * No I/O, no module.
 */
package rosecleat.facts;
