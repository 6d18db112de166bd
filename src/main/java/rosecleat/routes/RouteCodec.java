package rosecleat.routes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import rosecleat.fleet.Checksum;
import rosecleat.routes.wire.RouteEntryMessage;
import rosecleat.routes.wire.RouteSyncFrame;

/**
 * Converts between route entries and messages. Decoding returns empty if a field is out of range.
 */
final class RouteCodec {
  private static final int MAX_TEXT_LENGTH = 64;
  private static final int MAX_PORT = 0xffff;
  private static final double MAX_WEIGHT = 1e6;

  /** The largest accepted Lamport time; far below the overflow of the clock. */
  private static final long MAX_TIME = 1L << 56;

  private RouteCodec() {}

  /** Verifies the checksum of a received frame and decodes it; returns empty if it is invalid. */
  static Optional<RouteSyncFrame> decodeFrame(byte[] bytes, String cluster) {
    byte[] message = Checksum.verify(bytes, cluster);
    try {
      return message == null ? Optional.empty() : Optional.of(RouteSyncFrame.parseFrom(message));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  static byte[] encodeFrame(RouteSyncFrame.Builder frame, String cluster) {
    return Checksum.attach(frame.build().toByteArray(), cluster);
  }

  static RouteEntryMessage encode(RouteEntry entry) {
    RouteEntryMessage.Builder message =
        RouteEntryMessage.newBuilder()
            .setService(entry.key().service())
            .setName(entry.key().name())
            .setTime(entry.time())
            .setAuthor(entry.author());
    if (entry.isTombstone()) {
      return message.setRemoved(true).build();
    }
    Instance instance = entry.instance();
    return message
        .setHost(instance.host())
        .setPort(instance.port())
        .setZone(instance.zone())
        .setWeight(instance.weight())
        .setState(instance.state().wireValue())
        .setCapacity(instance.capacity())
        .build();
  }

  static Optional<RouteEntry> decode(RouteEntryMessage message) {
    if (!isName(message.getService())
        || !isName(message.getName())
        || message.getTime() <= 0
        || message.getTime() > MAX_TIME
        || !isText(message.getAuthor())
        || (!message.getRemoved() && !hasValidInstance(message))) {
      return Optional.empty();
    }
    RouteEntry.Key key = new RouteEntry.Key(message.getService(), message.getName());
    Instance instance = message.getRemoved() ? null : decodeInstance(message);
    return Optional.of(new RouteEntry(key, instance, message.getTime(), message.getAuthor()));
  }

  /**
   * Decodes all entries; returns empty if any of them is invalid, because the others cannot be
   * trusted then.
   */
  static Optional<List<RouteEntry>> decodeAll(List<RouteEntryMessage> messages) {
    List<RouteEntry> entries = new ArrayList<>();
    for (RouteEntryMessage message : messages) {
      Optional<RouteEntry> entry = decode(message);
      if (entry.isEmpty()) {
        return Optional.empty();
      }
      entries.add(entry.get());
    }
    return Optional.of(entries);
  }

  private static boolean isText(String text) {
    return text.length() <= MAX_TEXT_LENGTH;
  }

  private static boolean isName(String text) {
    return !text.isEmpty() && isText(text);
  }

  private static boolean hasValidInstance(RouteEntryMessage message) {
    return message.getPort() > 0
        && message.getPort() <= MAX_PORT
        && isText(message.getHost())
        && message.getWeight() > 0
        && message.getWeight() <= MAX_WEIGHT
        && Instance.State.ofWireValue(message.getState()).isPresent()
        && message.getCapacity() >= 0
        && isText(message.getZone());
  }

  private static Instance decodeInstance(RouteEntryMessage message) {
    return new Instance(
        message.getHost(),
        message.getPort(),
        message.getZone(),
        message.getWeight(),
        Instance.State.ofWireValue(message.getState()).orElseThrow(),
        message.getCapacity());
  }
}
