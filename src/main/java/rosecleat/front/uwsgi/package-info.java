/** The uwsgi protocol, as a front for callers and as a client of teams' services. */
package rosecleat.front.uwsgi;
