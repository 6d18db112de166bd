package rosecleat.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import rosecleat.config.BrokerConfig;
import rosecleat.config.FleetConfig;
import rosecleat.config.RoutesFile;
import rosecleat.core.Counters;
import rosecleat.fleet.Endpoint;
import rosecleat.fleet.FleetRecord;
import rosecleat.fleet.MembershipProtocol;
import rosecleat.fleet.MembershipView;
import rosecleat.fleet.transport.MembershipService;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.routes.Instance;
import rosecleat.routes.RouteEntry;
import rosecleat.routes.RouteStore;
import rosecleat.routes.RouteSyncSession;
import rosecleat.routes.RouteTable;

/**
 * What a process shares with its fleet, put in the node's terms. Loaded only where the broker's
 * file has a section {@code fleet} or {@code routes}: the platform forbids talk among nodes. The
 * book of routes belongs to the fleet's task, or, where there is no fleet, to the node's loop; the
 * loop gets whole tables.
 */
final class FleetIntegration {
  private static final String ROUTES = "routes";
  private static final int ROUTES_EXCHANGE = 2;

  /** What an author wrote last, so that a restart with an old file is known for one. */
  private static final String FILE = "routes.file";

  private static final long ROUTES_TTL_MS = 60_000;
  private static final long FILE_TTL_MS = 30L * 24 * 3_600_000;

  /** An author waits so many periods to hear what others published since its file was written. */
  private static final int LISTEN = 4;

  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

  /** A table with its generation in this process. */
  private record InForce(RouteTable table, long generation) {}

  private final MembershipService task;
  private final FleetConfig settings;
  private final EventLoop loop;
  private final Log log;
  private final Map<String, String> routesOf = new ConcurrentHashMap<>();
  private final Map<String, String> heldBy = new HashMap<>();
  private final RouteStore book = new RouteStore();
  private final InstancePools pools;
  private volatile InForce inForce = new InForce(RouteTable.EMPTY, 0);
  private RoutesFile waiting;
  private boolean following;
  private boolean told;

  /** Begins to share as a broker's file says. */
  FleetIntegration(BrokerConfig broker, EventLoop loop, Counters counters, Log log)
      throws IOException {
    this.loop = loop;
    this.log = log;
    settings = broker.fleet();
    pools = new InstancePools(settings == null ? "" : settings.zone());
    if (settings == null) {
      task = null;
      take(broker.routes());
      return;
    }
    task =
        new MembershipService(
            new MembershipService.Settings(
                settings.name(),
                settings.cluster(),
                settings.listen(),
                settings.advertise(),
                settings.zone(),
                settings.seeds(),
                settings.periodUs()),
            new MembershipService.Listener() {
              @Override
              public void viewChanged(MembershipView view) {}

              @Override
              public void recordChanged(FleetRecord record) {
                heard(record);
              }

              @Override
              public void counterIncreased(String counter, long increment) {
                loop.execute(() -> counters.add("fleet." + counter, increment));
              }
            },
            log);
    task.registerResponder(ROUTES_EXCHANGE, () -> follow(false));
    task.start();
    log.info("fleet: " + task.view().self() + " listens at " + task.endpoint());
    task.submit(fleet -> tell(fleet));
    if (broker.routes() != null) {
      waiting = broker.routes();
      loop.schedule(
          settings.seeds().isEmpty() ? 0 : LISTEN * settings.periodUs(),
          () -> task.submit(this::publish));
    }
    again();
  }

  /** What was missed, or broke, is looked for again. */
  private void again() {
    loop.schedule(
        settings.periodUs(),
        () -> {
          task.submit(this::catchUp); // where its mailbox is full now, the next time does
          again();
        });
  }

  // ---- on the fleet's task

  private RouteSyncSession follow(boolean opener) {
    return new RouteSyncSession(
        book,
        opener,
        settings.cluster(),
        () -> fleetNews,
        this::changed,
        () -> following = opener ? false : following);
  }

  private rosecleat.fleet.wire.MemberNews fleetNews;

  private void heard(FleetRecord record) {
    if (!record.kind().equals(ROUTES)) {
      return;
    }
    if (record.payload() == null) {
      routesOf.remove(record.owner());
      heldBy.remove(record.owner());
      return;
    }
    String[] digests = new String(record.payload(), StandardCharsets.US_ASCII).split(":");
    if (digests.length == 2) {
      routesOf.put(record.owner(), digests[0]);
      heldBy.put(record.owner(), digests[1]);
      if (!digests[1].equals(hex(book.stateDigest()))) {
        task.submit(this::catchUp);
      }
    }
  }

  /** Asks one that holds something else, one at a time: whoever told it last. */
  private void catchUp(MembershipProtocol fleet) {
    fleetNews = fleet.selfUpdate();
    String mine = hex(book.stateDigest());
    if (following) {
      return;
    }
    for (Map.Entry<String, String> other : heldBy.entrySet()) {
      Optional<Endpoint> peer =
          other.getValue().equals(mine) ? Optional.empty() : fleet.endpointOf(other.getKey());
      if (peer.isPresent()) {
        following = task.startExchange(ROUTES_EXCHANGE, peer.get(), follow(true));
        if (following) {
          return;
        }
      }
    }
  }

  private void changed() {
    InForce fresh = new InForce(book.table(), book.generation());
    inForce = fresh;
    loop.execute(() -> pools.use(fresh.table.services()));
    log.info("routes: " + hex(fresh.table.digest()) + " is in force");
    if (task != null) {
      task.submit(this::tell);
    }
  }

  private void tell(MembershipProtocol fleet) {
    fleetNews = fleet.selfUpdate();
    String payload = hex(book.table().digest()) + ":" + hex(book.stateDigest());
    routesOf.put(fleet.localId().name(), hex(book.table().digest()));
    fleet.publish(
        ROUTES, "", payload.getBytes(StandardCharsets.US_ASCII), ROUTES_TTL_MS, task.nowUs());
    catchUp(fleet);
  }

  /**
   * Writes the file that waits, unless it is what this author wrote last: others may have written
   * since.
   */
  private void publish(MembershipProtocol fleet) {
    RoutesFile file = waiting;
    waiting = null;
    if (file == null) {
      return;
    }
    RouteStore written = new RouteStore(); // a file is known by what it holds, as a table is
    written.publish("", entries(file));
    String digest = hex(written.table().digest());
    boolean old = false;
    for (FleetRecord record : fleet.recordsOfKind(FILE)) {
      old |=
          record.owner().equals(fleet.localId().name())
              && new String(record.payload(), StandardCharsets.US_ASCII).equals(digest);
    }
    if (old && !told) {
      log.info(
          "routes: the file is what this process published before: what others published since"
              + " stays");
    } else {
      take(file);
    }
    told = true;
    fleet.publish(FILE, "", digest.getBytes(StandardCharsets.US_ASCII), FILE_TTL_MS, task.nowUs());
  }

  private void take(RoutesFile file) {
    if (book.publish(settings == null ? "" : settings.name(), entries(file))) {
      changed();
    }
  }

  private static Map<RouteEntry.Key, Instance> entries(RoutesFile file) {
    Map<RouteEntry.Key, Instance> all = new HashMap<>();
    for (RoutesFile.InstanceEntry line : file.instances()) {
      all.put(
          new RouteEntry.Key(line.service(), line.name()),
          new Instance(
              line.address().getAddress().getHostAddress(),
              line.address().getPort(),
              line.zone(),
              line.weight(),
              Instance.State.valueOf(line.state().name()),
              line.capacity()));
    }
    return all;
  }

  // ---- on the loop

  /** A file of routes read anew, checked already; null where none is published. */
  void use(RoutesFile fresh) {
    if (fresh == null) {
      return;
    }
    if (task == null) {
      take(fresh);
    } else {
      task.submit(
          fleet -> {
            waiting = fresh;
            publish(fleet);
          });
    }
  }

  /** The instances in force, for the loop. */
  InstancePools pools() {
    return pools;
  }

  /** What operators see at a path; null where there is nothing of it. */
  String view(String path) {
    return switch (path) {
      case "/v1/fleet" -> task == null ? null : text(fleet(task.view()));
      case "/v1/routes" -> text(routes(inForce));
      default -> null;
    };
  }

  private ObjectNode fleet(MembershipView view) {
    ObjectNode root = JSON.createObjectNode();
    root.put("self", view.self().name())
        .put("settled", view.settled())
        .put("digest", hex(view.digest()));
    ArrayNode members = root.putArray("members");
    for (MembershipView.MemberInfo seen : view.members()) {
      members
          .addObject()
          .put("name", seen.id().name())
          .put("zone", seen.zone())
          .put("state", seen.state().name().toLowerCase(Locale.ROOT))
          .put("epoch", seen.id().epoch())
          .put("incarnation", seen.incarnation())
          .put("routes", routesOf.getOrDefault(seen.id().name(), ""));
    }
    return root;
  }

  private static ObjectNode routes(InForce now) {
    ObjectNode root = JSON.createObjectNode();
    root.put("generation", now.generation).put("digest", hex(now.table.digest()));
    ObjectNode services = root.putObject("services");
    now.table
        .services()
        .forEach(
            (service, instances) -> {
              ObjectNode all = services.putObject(service).putObject("instances");
              instances.forEach(
                  (name, i) -> {
                    ObjectNode one =
                        all.putObject(name)
                            .put("address", "uwsgi://" + i.host() + ":" + i.port())
                            .put("zone", i.zone())
                            .put("weight", i.weight())
                            .put("state", i.state().name().toLowerCase(Locale.ROOT));
                    if (i.capacity() > 0) {
                      one.put("places", i.capacity());
                    }
                  });
            });
    return root;
  }

  static String hex(long digest) {
    return String.format("%016x", digest);
  }

  private static String text(ObjectNode root) {
    try {
      return JSON.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e); // a tree of texts and figures
    }
  }

  /** The process goes: its fleet is told at once, while it still serves what it holds. */
  void depart() {
    if (task != null) {
      task.submit(fleet -> fleet.leave(task.nowUs()));
    }
  }

  /** The process ends: its fleet is told, and waited for so long at the most (ms). */
  void leave(long mostMs) {
    if (task != null) {
      task.leaveAndStop(mostMs);
    }
  }

  /** Ends at once. */
  void close() {
    if (task != null) {
      task.close();
    }
  }
}
