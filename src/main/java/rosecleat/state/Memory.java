package rosecleat.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import rosecleat.core.Counters;
import rosecleat.knowledge.Changes;
import rosecleat.knowledge.Fact;
import rosecleat.knowledge.Kind;
import rosecleat.knowledge.Knowledge;
import rosecleat.knowledge.Terms;
import rosecleat.log.Log;
import rosecleat.policy.Decisions;
import rosecleat.policy.Decisions.Lesson;
import rosecleat.store.Disk;
import rosecleat.store.Entry;
import rosecleat.store.Finding;
import rosecleat.store.Folder;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/**
 * What a node has learnt, kept in a folder that outlasts it. The folder is opened on a thread of its own, and until then,
 * or where it can't be, the node works as one without. One process of the node writes; another beside it reads, begins with
 * what it read, and takes the folder over as soon as it is free. For the loop, but for {@link #close}.
 */
public final class Memory {
  /** Where and how facts are kept: microseconds and bytes. */
  public record Settings(Path folder, long everyUs, long maxBytes, long halfLifeUs) { }

  /** The node's side: its settings as terms, the names in force, its decisions, its clock and its one thread. */
  public record Node(Supplier<Terms> terms, Supplier<Decisions.Names> names, Decisions decisions, LongSupplier clock,
      Consumer<Runnable> loop) { }

  private static final int WAITING = 64;
  private static final long WAITING_BYTES = 4 << 20;
  private static final long LOCKED_MS = 100;
  private static final long FAILED_MS = 5_000;
  /** A look at a folder in which another process writes is tried so often, as files may go under it. */
  private static final int LOOKS = 3;
  private static final FactOwner OWNER = new FactOwner();

  private final Node node;
  private final Counters counters;
  private final Log log;
  private final Changes changes = new Changes();
  private final Thread opener;
  private Settings settings;
  private volatile Store store;
  private volatile boolean ended;
  private boolean given;
  private long nextSaveUs;
  private boolean behind;

  /** Begins to open the folder. */
  public Memory(Settings settings, Node node, Counters counters, Log log) {
    this.settings = settings;
    this.node = node;
    this.counters = counters;
    this.log = log;
    long maxBytes = settings.maxBytes();
    Path folder = settings.folder();
    opener = new Thread(() -> open(folder, maxBytes), "state");
    opener.setDaemon(true);
  }

  /** Starts. */
  public void start() {
    opener.start();
  }

  /** Other settings; the folder is the same, and its size is taken at the next start. */
  public void use(Settings fresh) {
    settings = fresh;
  }

  // ---- the opener's thread

  private void open(Path path, long maxBytes) {
    String said = "";
    try {
      while (!ended) {
        Store.Opening opening = attempt(path, maxBytes);
        String what = "";
        long pauseMs = FAILED_MS;
        if (opening instanceof Store.Opened opened) {
          opened(opened);
          return;
        } else if (opening instanceof Store.Refused refused) {
          log.warn("state: nothing is kept: " + refused.why() + "; start the program that wrote it, or name another folder");
          return;
        } else if (opening instanceof Store.Locked) {
          what = "another process writes to " + path + ": this one reads it, and writes once that has left";
          pauseMs = LOCKED_MS;
          peek(path);
        } else if (opening instanceof Store.Failed failed) {
          what = path + " can't be used, and is tried again: " + failed.why();
        }
        if (!what.equals(said)) {
          log.warn("state: " + what);
          said = what;
        }
        Thread.sleep(pauseMs);
      }
    } catch (InterruptedException e) {
      return; // the node ends
    }
  }

  private Store.Opening attempt(Path path, long maxBytes) {
    try {
      return Store.open(Folder.made(path), OWNER, new Store.Limits(maxBytes, WAITING, WAITING_BYTES),
          line -> log.warn("state: " + line));
    } catch (IOException e) {
      return new Store.Failed(String.valueOf(e));
    }
  }

  private void peek(Path path) throws InterruptedException {
    for (int i = 0; i < LOOKS; i++) {
      try {
        Disk folder = Folder.of(path);
        Recovered found = Store.look(folder, OWNER);
        node.loop.accept(() -> give(found));
        return;
      } catch (IOException e) {
        Thread.sleep(1);
      }
    }
  }

  private void opened(Store.Opened opened) {
    Recovered found = opened.found();
    for (Finding finding : found.findings()) {
      log.warn("state: " + finding);
    }
    store = opened.store();
    if (ended) {
      store.end();
    }
    node.loop.accept(() -> {
      counters.add("state.opened");
      counters.add("state.findings", found.findings().size());
      give(found);
    });
  }

  // ---- the loop

  /** The module is given what was found, once it has begun at the latest. */
  private void give(Recovered found) {
    if (given && node.decisions.begun()) {
      return;
    }
    given = true;
    List<FactOwner.Kept> kept = ((FactOwner.Facts) found.fold()).all();
    node.decisions.teach(node.names.get(), () -> lessons(kept, node.clock.getAsLong()));
  }

  private List<Lesson> lessons(List<FactOwner.Kept> kept, long nowUs) {
    Knowledge knowledge = new Knowledge(node.terms.get(), settings.halfLifeUs());
    kept.forEach(each -> knowledge.take(each.node(), List.of(each.fact()), nowUs));
    List<Fact> facts = knowledge.at(nowUs);
    counters.add("state.taken", facts.size());
    knowledge.dropped().forEach((why, count) -> counters.add("state.dropped." + why.name().toLowerCase(java.util.Locale.ROOT),
        count));
    if (!kept.isEmpty()) {
      log.info("state: begins with " + facts.size() + " facts of " + kept.size() + (knowledge.dropped().isEmpty() ? ""
          : ", dropped " + knowledge.dropped()));
    }
    return facts.stream().map(f -> new Lesson(Decisions.Topic.valueOf(f.kind().name()), f.subject(), f.value(), f.weight()))
        .toList();
  }

  /** Writes down what has changed, where it is time; called every so often. */
  public void look(long nowUs) {
    if (nowUs >= nextSaveUs) {
      nextSaveUs = nowUs + settings.everyUs();
      save(nowUs);
    }
  }

  /** Writes down what has changed, now. */
  public void save(long nowUs) {
    Store to = store;
    if (to == null || !node.decisions.begun()) {
      return;
    }
    Terms terms = node.terms.get();
    List<Fact> facts = node.decisions.learnt(node.names.get()).stream().map(l -> fact(l, terms, nowUs))
        .filter(f -> terms.of(f.kind(), f.subject()) != null && f.kind().possible(f.value()) && f.weight() > 0).toList();
    List<Fact> news = changes.of(facts, settings.halfLifeUs());
    if (news.isEmpty()) {
      return;
    }
    Entry entry = FactCodec.entry(terms.node(), news);
    Store.Taken taken = to.append(List.of(entry), fault -> node.loop.accept(() -> saved(news, fault)));
    if (taken == Store.Taken.FULL) {
      counters.add("state.full");
    }
  }

  private static Fact fact(Lesson lesson, Terms terms, long nowUs) {
    Kind kind = Kind.valueOf(lesson.topic().name());
    String digest = terms.of(kind, lesson.of());
    return new Fact(kind, lesson.of(), lesson.value(), Math.min(lesson.samples(), kind.mostWeight()), nowUs,
        digest == null ? "" : digest);
  }

  private void saved(List<Fact> facts, String fault) {
    counters.add(fault == null ? "state.saves" : "state.failures");
    if (fault == null) {
      changes.told(facts);
    }
    if (behind != (fault != null)) {
      behind = fault != null;
      log.warn(behind ? "state: what is learnt is not written down: " + fault : "state: written down again");
    }
  }

  /** The last save; then the folder is free for another process. */
  public void leave(long nowUs) {
    save(nowUs);
    ended = true;
    opener.interrupt();
    if (store != null) {
      store.end();
    }
  }

  /** Waits so long at the most (ms) until the folder is free; for any thread, after {@link #leave}. */
  public boolean close(long mostMs) {
    ended = true;
    Store open = store;
    return open == null || open.close(mostMs);
  }
}
