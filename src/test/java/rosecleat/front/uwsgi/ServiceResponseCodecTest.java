package rosecleat.front.uwsgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Tests the encoding of a service's response as a request's result. */
class ServiceResponseCodecTest {
  @Property(tries = 300, seed = "5")
  void decodingAnEncodedResponseYieldsTheSameResponse(
      @ForAll @IntRange(min = 200, max = 599) int status,
      @ForAll @Size(max = 6) List<@AlphaChars @StringLength(min = 1, max = 12) String> names,
      @ForAll byte[] body) {
    List<ServiceResponse.Header> headers =
        names.stream()
            .map(name -> new ServiceResponse.Header("X-" + name, name + ": " + name))
            .toList();
    byte[] encoded = ServiceResponseCodec.encode(new ServiceResponse(status, headers, body));
    ServiceResponse decoded = ServiceResponseCodec.decode(encoded).orElseThrow();
    assertEquals(status, decoded.status());
    assertEquals(headers, decoded.headers());
    assertArrayEquals(body, decoded.body());
  }

  @Property(tries = 300, seed = "6")
  void decodingArbitraryBytesDoesNotThrow(@ForAll byte[] bytes) {
    ServiceResponseCodec.decode(bytes);
  }

  @Test
  void bytesWithoutValidHeadAreNotDecoded() {
    assertEquals(
        Optional.empty(), ServiceResponseCodec.decode("did work".getBytes(StandardCharsets.UTF_8)));
    assertEquals(
        Optional.empty(),
        ServiceResponseCodec.decode("200\nno header\n\n".getBytes(StandardCharsets.UTF_8)));
  }
}
