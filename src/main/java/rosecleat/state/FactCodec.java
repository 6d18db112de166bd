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
import rosecleat.store.Entry;

/**
 * Facts as entries of a store. Writes version 2; reads that, and version 1, which had milliseconds
 * and no terms.
 */
final class FactCodec {
  /** The type of an entry that holds facts of one node. */
  static final int TYPE = 1;

  /** The version that is written. */
  static final int VERSION = 2;

  /**
   * Facts of one node as they were read; {@code unread} of them are of a kind this program does not
   * know.
   */
  record Read(String node, List<Fact> facts, int unread) {}

  private FactCodec() {}

  static Entry entry(String node, Collection<Fact> facts) {
    Facts.Builder all = Facts.newBuilder().setNode(node);
    for (Fact f : facts) {
      all.addFacts(
          rosecleat.state.wire.Fact.newBuilder()
              .setKind(f.kind().wireName())
              .setSubject(f.subject())
              .setValue(f.value())
              .setWeight(f.weight())
              .setAtUs(f.learnedAtUs())
              .setTerms(f.settingsDigest()));
    }
    return new Entry(TYPE, VERSION, all.build().toByteArray());
  }

  /** What an entry holds; fails where it is not what its version says. */
  static Read read(Entry entry) throws InvalidProtocolBufferException {
    List<Fact> facts = new ArrayList<>();
    int all = 0;
    String node;
    if (entry.version() == 1) {
      FactsV1 old = FactsV1.parseFrom(entry.payload());
      node = old.getNode();
      for (FactV1 f : old.getFactsList()) {
        all++;
        FactKind.fromWireName(f.getKind())
            .ifPresent(
                kind ->
                    facts.add(
                        new Fact(
                            kind,
                            f.getSubject(),
                            f.getValue(),
                            f.getWeight(),
                            micros(f.getAtMs()),
                            "")));
      }
    } else {
      Facts now = Facts.parseFrom(entry.payload());
      node = now.getNode();
      for (rosecleat.state.wire.Fact f : now.getFactsList()) {
        all++;
        Optional<FactKind> kind = FactKind.fromWireName(f.getKind());
        kind.ifPresent(
            k ->
                facts.add(
                    new Fact(
                        k,
                        f.getSubject(),
                        f.getValue(),
                        f.getWeight(),
                        f.getAtUs(),
                        f.getTerms())));
      }
    }
    return new Read(node, facts, all - facts.size());
  }

  /** Milliseconds as microseconds; a figure too large for that stays too large. */
  private static long micros(long ms) {
    return ms > Long.MAX_VALUE / 1000 ? Long.MAX_VALUE : ms * 1000;
  }
}
