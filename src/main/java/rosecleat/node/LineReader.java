package rosecleat.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rosecleat.core.Failure;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.LineBuffer;

/** Passes each line that a connection of the {@link Rehearsal} receives to a consumer. */
final class LineReader implements ConnectionHandler {
  private static final int MAX_LINE_BYTES = 1 << 16;

  private final LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);
  private final Consumer<String> consumer;

  LineReader(Consumer<String> consumer) {
    this.consumer = consumer;
  }

  @Override
  public void received(ByteBuffer bytes) {
    buffer.append(bytes);
    for (String line = buffer.readLine(); line != null; line = buffer.readLine()) {
      consumer.accept(line);
    }
  }

  @Override
  public void closed(Failure failure, boolean endOfStream) {}
}
