package rosecleat.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rosecleat.facts.Fact;
import rosecleat.store.StateMachine;
import rosecleat.store.StoredRecord;

/**
 * The facts of a store: the last fact written for each node and key, at most {@link #MAX_FACTS} of
 * them. Not thread-safe.
 */
public final class FactState implements StateMachine {
  /** Maximum number of facts; beyond it, the fact that was written least recently is removed. */
  static final int MAX_FACTS = 20_000;

  private static final int MAX_FACTS_PER_RECORD = 500;

  private record Key(String node, Fact.Key factKey) {}

  /** Facts by key, the most recently written one last. */
  private final Map<Key, Fact> facts = new LinkedHashMap<>();

  private int unreadable;

  FactState() {}

  @Override
  public void apply(StoredRecord record) {
    try {
      FactCodec.Decoded decoded = FactCodec.decode(record);
      unreadable += decoded.unknownKinds();
      for (Fact fact : decoded.facts()) {
        put(decoded.node(), fact);
      }
    } catch (InvalidProtocolBufferException e) {
      unreadable++;
    }
  }

  private void put(String node, Fact fact) {
    Key key = new Key(node, fact.key());
    facts.remove(key); // so that it is inserted at the end
    facts.put(key, fact);
    if (facts.size() > MAX_FACTS) {
      facts.remove(facts.keySet().iterator().next());
    }
  }

  @Override
  public void writeSnapshot(Consumer<StoredRecord> output) {
    Map<String, List<Fact>> pendingByNode = new LinkedHashMap<>();
    facts.forEach(
        (key, fact) -> {
          List<Fact> pending = pendingByNode.computeIfAbsent(key.node(), node -> new ArrayList<>());
          pending.add(fact);
          if (pending.size() == MAX_FACTS_PER_RECORD) {
            output.accept(FactCodec.encode(key.node(), pending));
            pending.clear();
          }
        });
    pendingByNode.forEach(
        (node, pending) -> {
          if (!pending.isEmpty()) {
            output.accept(FactCodec.encode(node, pending));
          }
        });
  }

  /** Returns all facts, the most recently written one last. */
  public List<NodeFact> facts() {
    return facts.entrySet().stream()
        .map(entry -> new NodeFact(entry.getKey().node(), entry.getValue()))
        .toList();
  }

  /** Returns the number of facts of unknown kinds and of records that could not be decoded. */
  public int unreadable() {
    return unreadable;
  }
}
