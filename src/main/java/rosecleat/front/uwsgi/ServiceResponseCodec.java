package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Encodes a service's response as the bytes of a request's result, so that the core can cache and
 * replay the response like any other result. The encoding is a line with the three digits of the
 * status, a line for each header, an empty line and the body; lines end with LF.
 */
final class ServiceResponseCodec {
  private ServiceResponseCodec() {}

  /** Encodes a response. */
  static byte[] encode(ServiceResponse response) {
    StringBuilder text = new StringBuilder().append(response.status()).append('\n');
    response
        .headers()
        .forEach(
            header -> text.append(header.name()).append(':').append(header.value()).append('\n'));
    byte[] head = text.append('\n').toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] body = response.body();
    return ByteBuffer.allocate(head.length + body.length).put(head).put(body).array();
  }

  /** Decodes a response; returns empty if the bytes are not an encoded response. */
  static Optional<ServiceResponse> decode(byte[] result) {
    List<ServiceResponse.Header> headers = new ArrayList<>();
    int status = 0;
    int lineStart = 0;
    for (int position = 0; position < result.length; position++) {
      if (result[position] != '\n') {
        continue;
      }
      String line =
          new String(result, lineStart, position - lineStart, StandardCharsets.ISO_8859_1);
      lineStart = position + 1;
      if (status == 0) {
        if (!line.matches("[1-9][0-9]{2}")) {
          return Optional.empty();
        }
        status = Integer.parseInt(line);
      } else if (line.isEmpty()) {
        byte[] body = Arrays.copyOfRange(result, lineStart, result.length);
        return Optional.of(new ServiceResponse(status, List.copyOf(headers), body));
      } else {
        int colon = line.indexOf(':');
        if (colon < 1) {
          return Optional.empty();
        }
        headers.add(
            new ServiceResponse.Header(line.substring(0, colon), line.substring(colon + 1)));
      }
    }
    return Optional.empty();
  }
}
