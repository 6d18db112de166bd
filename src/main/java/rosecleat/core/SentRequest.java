package rosecleat.core;

/**
 * What a caller that names no class asks for, as sent.
 *
 * @param team the name by which the caller states who it is
 * @param method the method of the operation
 * @param path the path, with its parameters filled in
 * @param query the query; empty if there is none
 * @param body the body; empty if there is none
 */
public record SentRequest(String team, String method, String path, String query, byte[] body) {}
