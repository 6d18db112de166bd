package rosecleat.node;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import rosecleat.config.FleetConfig;
import rosecleat.config.RoutesFile;
import rosecleat.fleet.Endpoint;
import rosecleat.fleet.FleetRecord;
import rosecleat.fleet.MembershipProtocol;
import rosecleat.fleet.transport.MembershipService;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.log.Log;
import rosecleat.routes.RouteStore;
import rosecleat.routes.RouteSyncSession;

/**
 * Replicates routes in a fleet. Each member publishes a record with two digests: that of the routes
 * in force and that of all it stores. One that stores something else is asked for the difference,
 * one member at a time.
 *
 * <p>All state belongs to the thread of the {@link MembershipService}; only {@link #digestOf} may
 * be called from any thread.
 */
final class RouteReplication {
  /** The kind of the exchange in which two members compare their routes. */
  static final int EXCHANGE_KIND = 2;

  /** The record with a member's digests. */
  private static final String DIGESTS_RECORD = "routes";

  private static final String DIGEST_SEPARATOR = ":";
  private static final int DIGEST_COUNT = 2;
  private static final long DIGESTS_TTL_MS = 60_000;

  /**
   * The record of the file that an author published last: a restart with an old file shows by it.
   */
  private static final String FILE_RECORD = "routes.file";

  private static final long FILE_TTL_MS = 30L * 24 * 3_600_000;

  private final FleetConfig config;
  private final ActiveRoutes activeRoutes;
  private final Log log;
  private final RouteStore store = new RouteStore();
  private final Map<String, String> tableDigests = new ConcurrentHashMap<>();
  private final Map<String, String> storeDigests = new HashMap<>();
  private final MembershipService service;
  private MemberUpdateMessage selfUpdate;
  private boolean syncing;
  private boolean hasPublished;

  RouteReplication(
      FleetConfig config, MembershipService service, ActiveRoutes activeRoutes, Log log) {
    this.config = config;
    this.service = service;
    this.activeRoutes = activeRoutes;
    this.log = log;
  }

  /** Returns one side of an exchange; the initiator is the member that asked for it. */
  RouteSyncSession newSession(boolean initiator) {
    return new RouteSyncSession(
        store,
        initiator,
        config.cluster(),
        () -> selfUpdate,
        this::tableChanged,
        () -> sessionEnded(initiator));
  }

  private void sessionEnded(boolean initiator) {
    if (initiator) {
      syncing = false;
    }
  }

  /** Takes a record of another member that is new, changed or (without payload) removed. */
  void recordChanged(FleetRecord record) {
    if (!record.kind().equals(DIGESTS_RECORD)) {
      return;
    }
    if (record.payload() == null) {
      tableDigests.remove(record.owner());
      storeDigests.remove(record.owner());
      return;
    }
    String[] digests = text(record).split(DIGEST_SEPARATOR);
    if (digests.length == DIGEST_COUNT) {
      tableDigests.put(record.owner(), digests[0]);
      storeDigests.put(record.owner(), digests[1]);
      if (!digests[1].equals(storeDigest())) {
        service.submit(this::synchronize);
      }
    }
  }

  /** Starts an exchange with a member that stores something else, unless one is under way. */
  void synchronize(MembershipProtocol protocol) {
    selfUpdate = protocol.selfUpdate();
    String own = storeDigest();
    if (syncing) {
      return;
    }
    for (Map.Entry<String, String> other : storeDigests.entrySet()) {
      Optional<Endpoint> peer =
          other.getValue().equals(own) ? Optional.empty() : protocol.endpointOf(other.getKey());
      if (peer.isPresent()) {
        syncing = service.startExchange(EXCHANGE_KIND, peer.get(), newSession(true));
        if (syncing) {
          return;
        }
      }
    }
  }

  private void tableChanged() {
    activeRoutes.update(store);
    service.submit(this::publishDigests);
  }

  /** Publishes the digests of this member, and then looks for others that differ. */
  void publishDigests(MembershipProtocol protocol) {
    selfUpdate = protocol.selfUpdate();
    String tableDigest = DigestText.hex(store.table().digest());
    tableDigests.put(protocol.localId().name(), tableDigest);
    publish(
        protocol, DIGESTS_RECORD, tableDigest + DIGEST_SEPARATOR + storeDigest(), DIGESTS_TTL_MS);
    synchronize(protocol);
  }

  /**
   * Publishes the routes of a file. A file that this author published before its last restart
   * changes nothing: others may have published since.
   */
  void publishFile(MembershipProtocol protocol, RoutesFile file) {
    RouteStore contents = new RouteStore(); // a file is known by its contents, as a table is
    contents.publish("", RouteEntries.of(file));
    String digest = DigestText.hex(contents.table().digest());
    if (!hasPublished && publishedBefore(protocol, digest)) {
      log.info(
          "routes: the file is what this process published before: what others published since"
              + " stays");
    } else if (store.publish(config.name(), RouteEntries.of(file))) {
      tableChanged();
    }
    hasPublished = true;
    publish(protocol, FILE_RECORD, digest, FILE_TTL_MS);
  }

  private static boolean publishedBefore(MembershipProtocol protocol, String digest) {
    String self = protocol.localId().name();
    boolean found = false;
    for (FleetRecord record : protocol.recordsOfKind(FILE_RECORD)) {
      found |= record.owner().equals(self) && text(record).equals(digest);
    }
    return found;
  }

  private void publish(MembershipProtocol protocol, String kind, String payload, long ttlMs) {
    protocol.publish(kind, "", payload.getBytes(StandardCharsets.US_ASCII), ttlMs, service.nowUs());
  }

  /** Returns the digest of the routes in force at a member; empty text where it is unknown. */
  String digestOf(String member) {
    return tableDigests.getOrDefault(member, "");
  }

  private String storeDigest() {
    return DigestText.hex(store.stateDigest());
  }

  private static String text(FleetRecord record) {
    return new String(record.payload(), StandardCharsets.US_ASCII);
  }
}
