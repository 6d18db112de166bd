package rosecleat.node;

import java.util.HashMap;
import java.util.Map;
import rosecleat.config.RoutesFile;
import rosecleat.routes.Instance;
import rosecleat.routes.RouteEntry;

/** Converts a routes file into entries of a {@link rosecleat.routes.RouteStore}. */
final class RouteEntries {
  private RouteEntries() {}

  /** Returns the instances of a routes file by service and name. */
  static Map<RouteEntry.Key, Instance> of(RoutesFile file) {
    Map<RouteEntry.Key, Instance> entries = new HashMap<>();
    for (RoutesFile.InstanceEntry line : file.instances()) {
      entries.put(new RouteEntry.Key(line.service(), line.name()), instance(line));
    }
    return entries;
  }

  private static Instance instance(RoutesFile.InstanceEntry line) {
    return new Instance(
        line.address().getAddress().getHostAddress(),
        line.address().getPort(),
        line.zone(),
        line.weight(),
        Instance.State.valueOf(line.state().name()),
        line.capacity());
  }
}
