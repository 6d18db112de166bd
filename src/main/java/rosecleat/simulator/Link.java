package rosecleat.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.config.ConfigException;
import rosecleat.config.NamedSettings;
import rosecleat.config.SettingsReader;
import rosecleat.policy.Outcome;
import rosecleat.policy.Policy;
import rosecleat.policy.PolicyActions;
import rosecleat.policy.PolicyEvents;
import rosecleat.policy.PolicyRequest;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.ServerGauges;

/**
 * Reads batches of events, hands each to the policy of its server, and writes one reply to each
 * batch.
 */
final class Link {
  private static final int HEADER = 16;
  private static final int RECORD = 64;

  /** A body longer than this cannot be a frame (bytes). */
  private static final int LONGEST = 1 << 30;

  private static final int RETRY_BIT = 2;
  private static final int WRITE_BIT = 4;
  private static final int HINT_BIT = 1;

  private static final int ENLIST = 1000;
  private static final int ACCEPT = 1010;
  private static final int SETTLED = 1020;
  private static final int WANTS_CALL = 1030;
  private static final int DOWNSTREAM = 1040;
  private static final int TERMINATE_SOON = 1050;
  private static final int EXPIRED = 1060;
  private static final int TIMEOUT_FIRED = 1070;
  private static final int STOP = 1080;

  /** Makes the policy of a server that starts. */
  interface Maker {
    PolicyEvents make(PolicySettings settings, long seed, PolicyActions actions);
  }

  private record Instance(PolicyEvents policy, List<String> gauges) {}

  private final InputStream in;
  private final OutputStream out;
  private final Maker maker;
  private final SettingsReader reader = new SettingsReader();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Reply reply = new Reply();
  private final ServerGauges gauges = new ServerGauges();
  private final byte[] header = new byte[HEADER];
  private ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);

  Link(InputStream in, OutputStream out) {
    this(in, out, Policy::new);
  }

  Link(InputStream in, OutputStream out, Maker maker) {
    this.in = in;
    this.out = out;
    this.maker = maker;
  }

  /** Answers batches until the input ends between two of them. */
  void serve() throws IOException {
    ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
    while (true) {
      int got = in.readNBytes(header, 0, HEADER);
      if (got == 0) {
        return;
      }
      if (got < HEADER) {
        throw new WireException("input ends inside a frame header");
      }
      long length = head.getInt(0) & 0xffffffffL;
      long count = head.getInt(4) & 0xffffffffL;
      if (length > LONGEST) {
        throw new WireException("frame of " + length + " bytes is too long");
      }
      if (count * RECORD > length) {
        throw new WireException(
            "frame of " + length + " bytes is too short for " + count + " records");
      }
      if (body.capacity() < length) {
        body =
            ByteBuffer.allocate((int) Math.min(LONGEST, Math.max(length, 2L * body.capacity())))
                .order(ByteOrder.LITTLE_ENDIAN);
      }
      if (in.readNBytes(body.array(), 0, (int) length) < length) {
        throw new WireException("input ends inside a frame");
      }
      reply.clear();
      for (int i = 0; i < count; i++) {
        event(head.getLong(8), i * RECORD, (int) count * RECORD, (int) length);
      }
      reply.send(out);
    }
  }

  private void event(long now, int at, int tail, int end) {
    int code = body.getShort(at) & 0xffff;
    int server = body.getShort(at + 2) & 0xffff;
    if (code == ENLIST) {
      String text = text(at + 12, tail, end);
      NamedSettings start = settings(text);
      try {
        PolicyEvents policy =
            maker.make(start.policy(), body.getLong(at + 4), reply.actionsOf(server));
        instances.put(server, new Instance(policy, start.gaugeNames()));
        policy.start(now);
      } catch (RuntimeException e) {
        reply.internalError(server, describe(e));
      }
      return;
    }
    if (code == STOP) {
      instances.remove(server);
      return;
    }
    Instance instance = instances.get(server);
    if (instance == null) {
      return;
    }
    try {
      dispatch(now, code, at, instance);
    } catch (WireException e) {
      throw e;
    } catch (RuntimeException e) {
      reply.internalError(server, describe(e));
    }
  }

  private NamedSettings settings(String text) {
    try {
      return reader.read(text);
    } catch (ConfigException e) {
      throw new WireException(e.getMessage());
    }
  }

  private void dispatch(long now, int code, int at, Instance instance) {
    PolicyEvents policy = instance.policy;
    switch (code) {
      case ACCEPT -> {
        int bits = body.getShort(at + 42) & 0xffff;
        policy.arrived(
            now,
            new PolicyRequest(
                body.getLong(at + 4),
                body.getShort(at + 12) & 0xffff,
                body.getInt(at + 14),
                body.getLong(at + 18),
                u32(at + 26),
                (bits & HINT_BIT) == 0 ? 0 : u32(at + 30),
                body.getFloat(at + 34),
                body.getFloat(at + 38),
                (bits & RETRY_BIT) != 0,
                (bits & WRITE_BIT) != 0,
                u32(at + 44),
                u32(at + 48),
                body.getLong(at + 52)));
      }
      case SETTLED ->
          policy.ended(now, body.getLong(at + 4), outcome(body.get(at + 12)), u32(at + 13));
      case WANTS_CALL -> policy.callNeeded(now, body.getLong(at + 4));
      case DOWNSTREAM ->
          policy.callEnded(now, body.getLong(at + 4), outcome(body.get(at + 12)), u32(at + 13));
      case TERMINATE_SOON -> policy.draining(now, u32(at + 4));
      case EXPIRED -> policy.cancelled(now, body.getLong(at + 4));
      case TIMEOUT_FIRED -> {
        readGauges(at + 12, instance.gauges);
        policy.timerFired(now, body.getLong(at + 4), gauges);
      }
      default -> {} // an event this adapter does not know
    }
  }

  private void readGauges(int at, List<String> names) {
    gauges.clear();
    int n = Math.min(body.get(at) & 0xff, names.size());
    if (at + 1 + 4 * n > body.limit()) {
      throw new WireException("gauges run past the frame");
    }
    for (int i = 0; i < n; i++) {
      gauges.set(names.get(i), body.getFloat(at + 1 + 4 * i));
    }
  }

  private long u32(int at) {
    return body.getInt(at) & 0xffffffffL;
  }

  private String text(int at, int tail, int end) {
    long from = tail + u32(at);
    long length = u32(at + 4);
    if (from + length > end) {
      throw new WireException("offset outside the tail");
    }
    return new String(body.array(), (int) from, (int) length, StandardCharsets.UTF_8);
  }

  private static Outcome outcome(byte code) {
    return switch (code & 0xff) {
      case 0 -> Outcome.OK;
      case 254 -> Outcome.REJECTED;
      case 253 -> Outcome.TIMEOUT;
      case 252 -> Outcome.UNREACHABLE;
      case 251 -> Outcome.RESET;
      case 250 -> Outcome.CANCELLED;
      case 249 -> Outcome.NOT_STARTED;
      default -> Outcome.FAILED;
    };
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return e + (trace.length == 0 ? "" : " at " + trace[0]);
  }
}
