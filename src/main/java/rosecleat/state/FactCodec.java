package rosecleat.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.state.wire.FactV1;
import rosecleat.state.wire.Facts;
import rosecleat.state.wire.FactsV1;
import rosecleat.store.StoredRecord;

/**
 * Encodes facts as records of a store and decodes them. Writes version 2 and reads versions 1 and
 * 2. Version 1 has times in milliseconds and no digest of the settings.
 */
final class FactCodec {
  /** Type of a record that contains facts of one node. */
  static final int RECORD_TYPE = 1;

  /** The version that this program writes, and the newest one that it reads. */
  static final int RECORD_VERSION = 2;

  private static final long MICROSECONDS_PER_MILLISECOND = 1000;

  /**
   * The content of a record.
   *
   * @param node the node that learned the facts
   * @param facts the facts of known kinds
   * @param unknownKinds the number of facts of unknown kinds, which are skipped
   */
  record Decoded(String node, List<Fact> facts, int unknownKinds) {}

  private FactCodec() {}

  static StoredRecord encode(String node, Collection<Fact> facts) {
    Facts.Builder message = Facts.newBuilder().setNode(node);
    for (Fact fact : facts) {
      message.addFacts(
          rosecleat.state.wire.Fact.newBuilder()
              .setKind(fact.kind().wireName())
              .setSubject(fact.subject())
              .setValue(fact.value())
              .setWeight(fact.weight())
              .setAtUs(fact.learnedAtUs())
              .setTerms(fact.settingsDigest()));
    }
    return new StoredRecord(RECORD_TYPE, RECORD_VERSION, message.build().toByteArray());
  }

  /** Decodes a record; fails if the payload is not a valid message of the record's version. */
  static Decoded decode(StoredRecord record) throws InvalidProtocolBufferException {
    return record.version() == 1 ? decodeV1(record.payload()) : decodeV2(record.payload());
  }

  private static Decoded decodeV1(byte[] payload) throws InvalidProtocolBufferException {
    FactsV1 message = FactsV1.parseFrom(payload);
    List<Fact> facts = new ArrayList<>();
    for (FactV1 encoded : message.getFactsList()) {
      Optional<FactKind> kind = FactKind.fromWireName(encoded.getKind());
      if (kind.isPresent()) {
        facts.add(
            new Fact(
                kind.get(),
                encoded.getSubject(),
                encoded.getValue(),
                encoded.getWeight(),
                toMicroseconds(encoded.getAtMs()),
                ""));
      }
    }
    return new Decoded(message.getNode(), facts, message.getFactsCount() - facts.size());
  }

  private static Decoded decodeV2(byte[] payload) throws InvalidProtocolBufferException {
    Facts message = Facts.parseFrom(payload);
    List<Fact> facts = new ArrayList<>();
    for (rosecleat.state.wire.Fact encoded : message.getFactsList()) {
      Optional<FactKind> kind = FactKind.fromWireName(encoded.getKind());
      if (kind.isPresent()) {
        facts.add(
            new Fact(
                kind.get(),
                encoded.getSubject(),
                encoded.getValue(),
                encoded.getWeight(),
                encoded.getAtUs(),
                encoded.getTerms()));
      }
    }
    return new Decoded(message.getNode(), facts, message.getFactsCount() - facts.size());
  }

  /**
   * Converts a time; an overflow yields the largest value, so that the time stays in the future.
   */
  private static long toMicroseconds(long milliseconds) {
    return milliseconds > Long.MAX_VALUE / MICROSECONDS_PER_MILLISECOND
        ? Long.MAX_VALUE
        : milliseconds * MICROSECONDS_PER_MILLISECOND;
  }
}
