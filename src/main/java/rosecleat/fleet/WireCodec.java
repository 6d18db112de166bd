package rosecleat.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.Exchange;
import rosecleat.fleet.wire.MemberNews;
import rosecleat.fleet.wire.RecordNews;
import rosecleat.fleet.wire.Standing;
import rosecleat.fleet.wire.Who;

/**
 * MemberList and records as messages and back. What can't be is null: names, hosts, figures out of
 * bounds.
 */
final class WireCodec {
  private static final MemberState[] STATES = MemberState.values();
  private static final int LONGEST_KEY = 256;
  private static final long MOST_FIGURE = 1L << 60;
  private static final long MOST_TTL_MS = 30L * 24 * 3_600_000;

  private WireCodec() {}

  /** What is told of a member. */
  record MemberUpdate(
      MemberId id, Endpoint at, String zone, MemberState state, long incarnation, long witness) {}

  /** What is told of a record; {@code goneMs} since its owner has gone. */
  record RecordUpdate(FleetRecord record, long goneMs) {}

  static MemberNews news(Member member, MemberState state, long witness) {
    return news(member.id, member.at, member.zone, state, member.incarnation, witness);
  }

  static MemberNews news(
      MemberId id, Endpoint at, String zone, MemberState state, long incarnation, long witness) {
    return MemberNews.newBuilder()
        .setWho(who(id))
        .setHost(ByteString.copyFrom(at.host(), StandardCharsets.US_ASCII))
        .setPort(at.port())
        .setZone(zone)
        .setStandingValue(state.ordinal())
        .setIncarnation(incarnation)
        .setWitness(witness)
        .build();
  }

  static Who who(MemberId id) {
    return Who.newBuilder().setName(id.name()).setEpoch(id.epoch()).build();
  }

  static MemberId id(Who who) {
    return new MemberId(who.getName(), who.getEpoch());
  }

  static MemberUpdate news(MemberNews m) {
    Endpoint at = new Endpoint(m.getHost().toString(StandardCharsets.US_ASCII), m.getPort());
    String name = m.getWho().getName();
    if (name.isEmpty()
        || name.length() > MemberId.LONGEST_NAME
        || m.getWho().getEpoch() <= 0
        || m.getWho().getEpoch() > MOST_FIGURE
        || !at.usable()
        || m.getZone().length() > MemberId.LONGEST_NAME
        || m.getStanding() == Standing.UNRECOGNIZED
        || m.getIncarnation() < 0
        || m.getIncarnation() > MOST_FIGURE) {
      return null;
    }
    return new MemberUpdate(
        id(m.getWho()),
        at,
        m.getZone(),
        STATES[m.getStandingValue()],
        m.getIncarnation(),
        m.getWitness());
  }

  static RecordNews record(FleetRecord r, long goneMs, boolean payload) {
    RecordNews.Builder builder =
        RecordNews.newBuilder()
            .setOwner(r.owner())
            .setEpoch(r.epoch())
            .setKind(r.kind())
            .setKey(r.key())
            .setVersion(r.version())
            .setTtlMs(r.ttlMs())
            .setGoneMs(goneMs);
    if (payload) {
      builder.setPayload(ByteString.copyFrom(r.payload()));
    }
    return builder.build();
  }

  static RecordUpdate record(RecordNews n) {
    if (n.getOwner().isEmpty()
        || n.getOwner().length() > MemberId.LONGEST_NAME
        || n.getKind().isEmpty()
        || n.getKind().length() > MemberId.LONGEST_NAME
        || n.getKey().length() > LONGEST_KEY
        || n.getEpoch() <= 0
        || n.getEpoch() > MOST_FIGURE
        || n.getVersion() < 0
        || n.getVersion() > MOST_FIGURE
        || n.getTtlMs() < 0
        || n.getTtlMs() > MOST_TTL_MS
        || n.getGoneMs() < 0
        || n.getPayload().size() > Tuning.RECORD_BYTES) {
      return null;
    }
    return new RecordUpdate(
        new FleetRecord(
            n.getOwner(),
            n.getEpoch(),
            n.getKind(),
            n.getKey(),
            n.getVersion(),
            n.getTtlMs(),
            n.getPayload().toByteArray()),
        n.getGoneMs());
  }

  static Datagram datagram(byte[] bytes) {
    try {
      return bytes == null ? null : Datagram.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }

  static Exchange exchange(byte[] bytes) {
    try {
      return bytes == null ? null : Exchange.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }
}
