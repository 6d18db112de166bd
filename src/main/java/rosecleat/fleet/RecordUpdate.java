package rosecleat.fleet;

/**
 * What a message says of a record, with all fields within their bounds.
 *
 * @param ownerGoneMs how long its owner's start has been gone; 0 while it is there
 */
record RecordUpdate(FleetRecord record, long ownerGoneMs) {}
