package rosecleat.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rosecleat.facts.Fact;
import rosecleat.store.Entry;
import rosecleat.store.Fold;
import rosecleat.store.Owner;

/** Keeps facts in a store: of each the last that was written, by node. */
public final class FactOwner implements Owner {
  /** So many facts are kept at the most; the one that was written longest ago goes first. */
  static final int MOST = 20_000;

  private static final int IN_ONE = 500;

  private record Name(String node, Fact.Key fact) {}

  /** A fact of a node. */
  public record Kept(String node, Fact fact) {}

  @Override
  public int reads(int type) {
    return type == FactCodec.TYPE ? FactCodec.VERSION : 0;
  }

  @Override
  public Fold fold() {
    return new Facts();
  }

  /** The facts that count. */
  public static final class Facts implements Fold {
    private final Map<Name, Fact> last = new LinkedHashMap<>();
    private int unread;

    @Override
    public void add(Entry entry) {
      try {
        FactCodec.Read read = FactCodec.read(entry);
        unread += read.unread();
        for (Fact fact : read.facts()) {
          Name name = new Name(read.node(), fact.key());
          last.remove(name); // the newest stands last
          last.put(name, fact);
          if (last.size() > MOST) {
            last.remove(last.keySet().iterator().next());
          }
        }
      } catch (InvalidProtocolBufferException e) {
        unread++;
      }
    }

    @Override
    public void forEach(Consumer<Entry> taker) {
      Map<String, List<Fact>> byNode = new LinkedHashMap<>();
      last.forEach(
          (name, fact) -> {
            List<Fact> some = byNode.computeIfAbsent(name.node, n -> new ArrayList<>());
            some.add(fact);
            if (some.size() == IN_ONE) {
              taker.accept(FactCodec.entry(name.node, some));
              some.clear();
            }
          });
      byNode.forEach(
          (node, some) -> {
            if (!some.isEmpty()) {
              taker.accept(FactCodec.entry(node, some));
            }
          });
    }

    /** All facts, the one written last at the end. */
    public List<Kept> all() {
      return last.entrySet().stream().map(e -> new Kept(e.getKey().node, e.getValue())).toList();
    }

    /** Facts of kinds this program does not know, and entries it could not read. */
    public int unread() {
      return unread;
    }
  }
}
