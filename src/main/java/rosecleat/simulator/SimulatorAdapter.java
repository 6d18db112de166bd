package rosecleat.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.config.ConfigException;
import rosecleat.config.NamedSettings;
import rosecleat.config.SettingsReader;
import rosecleat.policy.Policy;
import rosecleat.policy.PolicyActions;
import rosecleat.policy.PolicyEvents;
import rosecleat.policy.PolicySettings;

/**
 * Reads batches of events, calls the policy of each event's server with the event, and writes one
 * reply to each batch.
 */
final class SimulatorAdapter {
  /** Creates the policy of a server that starts. */
  interface PolicyFactory {
    PolicyEvents create(PolicySettings settings, long seed, PolicyActions actions);
  }

  private record Server(PolicyEvents policy, List<String> gaugeNames) {}

  private final OutputStream out;
  private final PolicyFactory policies;
  private final SettingsReader settingsReader = new SettingsReader();
  private final Map<Integer, Server> servers = new HashMap<>();
  private final BatchFrame batch;
  private final EventDecoder events;
  private final ReplyFrame reply = new ReplyFrame();

  SimulatorAdapter(InputStream in, OutputStream out) {
    this(in, out, Policy::new);
  }

  SimulatorAdapter(InputStream in, OutputStream out, PolicyFactory policies) {
    this.out = out;
    this.policies = policies;
    batch = new BatchFrame(in);
    events = new EventDecoder(batch);
  }

  /**
   * Replies to batches until the input ends after a complete batch.
   *
   * @throws WireException if a batch is malformed or the settings of a server are invalid
   */
  void serve() throws IOException {
    while (batch.readNext()) {
      reply.clear();
      for (int i = 0; i < batch.recordCount(); i++) {
        handle(batch.recordOffset(i));
      }
      reply.send(out);
    }
  }

  private void handle(int record) {
    int serverId = events.server(record);
    switch (events.code(record)) {
      case EventDecoder.SERVER_STARTED -> start(serverId, record);
      case EventDecoder.SERVER_STOPPED -> servers.remove(serverId);
      default -> dispatch(serverId, record);
    }
  }

  private void start(int serverId, int record) {
    NamedSettings start = readSettings(events.settings(record));
    try {
      PolicyActions actions = new ActionEncoder(reply, serverId);
      PolicyEvents policy = policies.create(start.policy(), events.seed(record), actions);
      servers.put(serverId, new Server(policy, start.gaugeNames()));
      policy.start(batch.clockUs());
    } catch (RuntimeException e) {
      reply.internalError(serverId, describe(e));
    }
  }

  private NamedSettings readSettings(String text) {
    try {
      return settingsReader.read(text);
    } catch (ConfigException e) {
      throw new WireException(e.getMessage());
    }
  }

  private void dispatch(int serverId, int record) {
    Server server = servers.get(serverId);
    if (server == null) {
      return;
    }
    try {
      events.dispatch(record, server.policy, server.gaugeNames);
    } catch (WireException e) {
      throw e;
    } catch (RuntimeException e) {
      reply.internalError(serverId, describe(e));
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return e + (trace.length == 0 ? "" : " at " + trace[0]);
  }
}
