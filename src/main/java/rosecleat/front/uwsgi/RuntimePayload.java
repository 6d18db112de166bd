package rosecleat.front.uwsgi;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Creates the payload of requests that the machine's runtime executes. */
final class RuntimePayload {
  /** The longest payload that the runtime accepts. */
  static final int MAX_BYTES = 2 << 10;

  private final ObjectMapper json = new ObjectMapper();

  /**
   * Returns the request's body, or its parameters as a JSON object if the body is empty and there
   * are parameters.
   *
   * @param pathParameters the parameters in the path; they take precedence over those in the query,
   *     because the path identifies the resource that is requested
   * @return the payload; empty if the query is malformed
   */
  Optional<byte[]> create(byte[] body, Map<String, String> pathParameters, String query) {
    if (body.length > 0 || (pathParameters.isEmpty() && query.isEmpty())) {
      return Optional.of(body);
    }
    try {
      Map<String, String> parameters = parseQuery(query);
      parameters.putAll(pathParameters);
      return Optional.of(json.writeValueAsBytes(parameters));
    } catch (IllegalArgumentException | JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static Map<String, String> parseQuery(String query) {
    Map<String, String> parameters = new LinkedHashMap<>();
    for (String pair : query.split("&")) {
      int equals = pair.indexOf('=');
      if (!pair.isEmpty()) {
        parameters.put(
            decode(equals < 0 ? pair : pair.substring(0, equals)),
            equals < 0 ? "" : decode(pair.substring(equals + 1)));
      }
    }
    return parameters;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
