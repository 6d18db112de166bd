package rosecleat.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.MemberIdMessage;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.fleet.wire.RecordUpdateMessage;
import rosecleat.fleet.wire.SyncFrame;

/**
 * Encodes members and records as messages and decodes them. Decoding returns empty if a name, host
 * or number is out of bounds.
 */
final class WireCodec {

  /** The maximum length of a record's key (characters). */
  private static final int MAX_KEY_LENGTH = 256;

  /** The greatest epoch, incarnation and version; small enough that increments cannot overflow. */
  private static final long MAX_NUMBER = 1L << 60;

  private static final long MAX_TTL_MS = 30L * 24 * 3_600_000;

  private WireCodec() {}

  static MemberUpdateMessage encode(Member member, MemberState state, long witness) {
    return encode(
        new MemberUpdate(
            member.id, member.endpoint, member.zone, state, member.incarnation, witness));
  }

  static MemberUpdateMessage encode(MemberUpdate update) {
    Endpoint endpoint = update.endpoint();
    return MemberUpdateMessage.newBuilder()
        .setId(encode(update.id()))
        .setHost(ByteString.copyFrom(endpoint.host(), StandardCharsets.US_ASCII))
        .setPort(endpoint.port())
        .setZone(update.zone())
        .setStateValue(update.state().wireValue())
        .setIncarnation(update.incarnation())
        .setWitness(update.witness())
        .build();
  }

  static MemberIdMessage encode(MemberId id) {
    return MemberIdMessage.newBuilder().setName(id.name()).setEpoch(id.epoch()).build();
  }

  static MemberId decode(MemberIdMessage message) {
    return new MemberId(message.getName(), message.getEpoch());
  }

  static Optional<MemberUpdate> decode(MemberUpdateMessage message) {
    String host = message.getHost().toString(StandardCharsets.US_ASCII);
    Endpoint endpoint = new Endpoint(host, message.getPort());
    Optional<MemberState> state = MemberState.ofWireValue(message.getStateValue());
    if (!isName(message.getId().getName())
        || !isEpoch(message.getId().getEpoch())
        || !endpoint.isUsable()
        || message.getZone().length() > MemberId.MAX_NAME_LENGTH
        || state.isEmpty()
        || !isNumber(message.getIncarnation())) {
      return Optional.empty();
    }
    return Optional.of(
        new MemberUpdate(
            decode(message.getId()),
            endpoint,
            message.getZone(),
            state.get(),
            message.getIncarnation(),
            message.getWitness()));
  }

  private static boolean isName(String name) {
    return !name.isEmpty() && name.length() <= MemberId.MAX_NAME_LENGTH;
  }

  private static boolean isEpoch(long epoch) {
    return epoch > 0 && epoch <= MAX_NUMBER;
  }

  private static boolean isNumber(long number) {
    return number >= 0 && number <= MAX_NUMBER;
  }

  static RecordUpdateMessage encode(FleetRecord record, long ownerGoneMs, boolean withPayload) {
    RecordUpdateMessage.Builder message =
        RecordUpdateMessage.newBuilder()
            .setOwner(record.owner())
            .setEpoch(record.epoch())
            .setKind(record.kind())
            .setKey(record.key())
            .setVersion(record.version())
            .setTtlMs(record.ttlMs())
            .setOwnerGoneMs(ownerGoneMs);
    if (withPayload) {
      message.setPayload(ByteString.copyFrom(record.payload()));
    }
    return message.build();
  }

  static Optional<RecordUpdate> decode(RecordUpdateMessage message) {
    if (!isName(message.getOwner())
        || !isName(message.getKind())
        || message.getKey().length() > MAX_KEY_LENGTH
        || !isEpoch(message.getEpoch())
        || !isNumber(message.getVersion())
        || message.getTtlMs() < 0
        || message.getTtlMs() > MAX_TTL_MS
        || message.getOwnerGoneMs() < 0
        || message.getPayload().size() > Tuning.MAX_RECORD_BYTES) {
      return Optional.empty();
    }
    FleetRecord record =
        new FleetRecord(
            message.getOwner(),
            message.getEpoch(),
            message.getKind(),
            message.getKey(),
            message.getVersion(),
            message.getTtlMs(),
            message.getPayload().toByteArray());
    return Optional.of(new RecordUpdate(record, message.getOwnerGoneMs()));
  }

  /** Decodes a received datagram after verifying its checksum. */
  static Optional<Datagram> decodeDatagram(byte[] bytes, String cluster) {
    byte[] message = Checksum.verify(bytes, cluster);
    try {
      return message == null ? Optional.empty() : Optional.of(Datagram.parseFrom(message));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Decodes a received frame of a synchronization after verifying its checksum. */
  static Optional<SyncFrame> decodeExchange(byte[] bytes, String cluster) {
    byte[] message = Checksum.verify(bytes, cluster);
    try {
      return message == null ? Optional.empty() : Optional.of(SyncFrame.parseFrom(message));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
