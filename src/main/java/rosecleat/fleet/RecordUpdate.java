package rosecleat.fleet;

/**
 * A record as a message reports it, with all fields validated.
 *
 * @param ownerGoneMs how long the record's owner has been inactive (ms); 0 while it is active
 */
record RecordUpdate(FleetRecord record, long ownerGoneMs) {}
