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
 * Replicates routes in a fleet. Each member publishes a record with two digests: that of its routes
 * in force and that of everything in its route store. If the second digest of another member
 * differs, this member starts an exchange of the difference with it, one member at a time.
 *
 * <p>All state belongs to the thread of the {@link MembershipService}; only {@link #digestOf} may
 * be called from any thread.
 */
final class RouteReplication {
  /** Kind of the exchange in which two members synchronize their routes. */
  static final int EXCHANGE_KIND = 2;

  /** Kind of the record that contains the digests of a member. */
  private static final String DIGESTS_RECORD = "routes";

  private static final String DIGEST_SEPARATOR = ":";
  private static final int DIGEST_COUNT = 2;
  private static final long DIGESTS_TTL_MS = 60_000;

  /**
   * Kind of the record that contains the digest of the routes file that a member published last. It
   * shows whether a member restarted with an old file.
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

  /**
   * Returns a session of one side of an exchange.
   *
   * @param initiator whether this member started the exchange
   */
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

  /** Processes a record of another member that is new, changed or, without payload, removed. */
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

  /**
   * Starts an exchange with a member whose route store differs from that of this member, unless one
   * is already in progress.
   */
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

  /**
   * Publishes the digests of this member, and then synchronizes with members whose digests differ.
   */
  void publishDigests(MembershipProtocol protocol) {
    selfUpdate = protocol.selfUpdate();
    String tableDigest = DigestText.hex(store.table().digest());
    tableDigests.put(protocol.localId().name(), tableDigest);
    publish(
        protocol, DIGESTS_RECORD, tableDigest + DIGEST_SEPARATOR + storeDigest(), DIGESTS_TTL_MS);
    synchronize(protocol);
  }

  /**
   * Publishes the routes of a file. A file that this member already published before its last
   * restart changes nothing, since other members may have published newer routes since.
   */
  void publishFile(MembershipProtocol protocol, RoutesFile file) {
    // A file is identified by the digest of its contents, as a route table is.
    RouteStore contents = new RouteStore();
    contents.publish("", RouteEntries.of(file));
    String digest = DigestText.hex(contents.table().digest());
    if (!hasPublished && publishedBefore(protocol, digest)) {
      log.info(
          "routes: file not published again: this process published it before, and routes that"
              + " others published since stay");
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

  /**
   * Returns the digest of the routes in force at a member; empty text if it is unknown. May be
   * called from any thread.
   */
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
