package rosecleat.index;

import java.util.concurrent.Future;

/**
 * One call that is out. {@code line} is what carries it, null while it waits for one: then it was
 * not sent.
 */
final class Call {
  final String id;
  final long untilUs;
  final byte[] body;
  Line line;
  Future<?> timer;

  Call(String id, long untilUs, byte[] body) {
    this.id = id;
    this.untilUs = untilUs;
    this.body = body;
  }
}
