package rosecleat.front.uwsgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** A service's answer as it is kept. */
class ServiceReplyTest {
  @Property(tries = 300, seed = "5")
  void whatIsKeptIsReadBackTheSame(
      @ForAll @IntRange(min = 200, max = 599) int status,
      @ForAll @Size(max = 6) List<@AlphaChars @StringLength(min = 1, max = 12) String> names,
      @ForAll byte[] body) {
    List<ServiceReply.Header> headers =
        names.stream().map(n -> new ServiceReply.Header("X-" + n, n + ": " + n)).toList();
    ServiceReply read = ServiceReply.read(new ServiceReply(status, headers, body).result());
    assertEquals(status, read.status());
    assertEquals(headers, read.headers());
    assertArrayEquals(body, read.body());
  }

  @Property(tries = 300, seed = "6")
  void noBytesMakeReadingThrow(@ForAll byte[] bytes) {
    ServiceReply.read(bytes);
  }

  @Test
  void aBodyAloneIsNoAnswer() {
    assertEquals(null, ServiceReply.read("did work".getBytes(StandardCharsets.UTF_8)));
    assertEquals(null, ServiceReply.read("200\nno header\n\n".getBytes(StandardCharsets.UTF_8)));
  }
}
