package rosecleat.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rosecleat.policy.PolicyActions;

/** One reply frame under construction: fixed records, then a tail of texts. */
final class Reply {
  private static final int HEADER = 8;
  private static final int RECORD = 24;

  private static final int RUN = 1000;
  private static final int REFUSE = 1010;
  private static final int FAIL = 1020;
  private static final int HALT = 1030;
  private static final int CALL = 1040;
  private static final int SKIP_CALL = 1050;
  private static final int KEEP = 1060;
  private static final int FORGET = 1070;
  private static final int REUSE = 1080;
  private static final int HEALTH = 1090;
  private static final int SAY = 1100;
  private static final int IDLE = 1110;
  private static final int WAKE = 1120;
  private static final int LOG = 1130;
  private static final int INTERNAL_ERROR = 1140;

  private ByteBuffer records = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
  private byte[] tail = new byte[256];
  private int tailLength;
  private int count;

  void clear() {
    Arrays.fill(records.array(), 0, HEADER + count * RECORD, (byte) 0);
    count = 0;
    tailLength = 0;
  }

  void send(OutputStream out) throws IOException {
    int end = HEADER + count * RECORD;
    records.putInt(0, count * RECORD + tailLength);
    records.putInt(4, count);
    if (tailLength == 0) {
      out.write(records.array(), 0, end);
    } else {
      byte[] frame = Arrays.copyOf(records.array(), end + tailLength);
      System.arraycopy(tail, 0, frame, end, tailLength);
      out.write(frame);
    }
    out.flush();
  }

  void internalError(int server, String text) {
    text(add(INTERNAL_ERROR, server), text);
  }

  /** Starts a record and returns where it begins. */
  private int add(int code, int server) {
    int at = HEADER + count * RECORD;
    if (at + RECORD > records.capacity()) {
      records =
          ByteBuffer.wrap(Arrays.copyOf(records.array(), records.capacity() * 2))
              .order(ByteOrder.LITTLE_ENDIAN);
    }
    records.putShort(at, (short) code);
    records.putShort(at + 2, (short) server);
    count++;
    return at;
  }

  private int add(int code, int server, long id) {
    int at = add(code, server);
    records.putLong(at + 4, id);
    return at;
  }

  private void text(int at, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (tailLength + bytes.length > tail.length) {
      tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailLength + bytes.length));
    }
    System.arraycopy(bytes, 0, tail, tailLength, bytes.length);
    records.putInt(at + 4, tailLength);
    records.putInt(at + 8, bytes.length);
    tailLength += bytes.length;
  }

  private static int u32(long value) {
    return (int) Math.max(0, Math.min(value, 0xffffffffL));
  }

  /** The actions of one server, written into this reply. */
  PolicyActions actionsOf(int server) {
    return new PolicyActions() {
      @Override
      public void run(long id) {
        add(RUN, server, id);
      }

      @Override
      public void reject(long id, long holdOffUs, boolean last) {
        int at = add(REFUSE, server, id);
        records.putInt(at + 12, u32(holdOffUs));
        records.put(at + 16, (byte) (last ? 1 : 0));
      }

      @Override
      public void fail(long id) {
        add(FAIL, server, id);
      }

      @Override
      public void cancel(long id) {
        add(HALT, server, id);
      }

      @Override
      public void call(long id, long untilUs) {
        int at = add(CALL, server, id);
        records.putLong(at + 12, untilUs);
      }

      @Override
      public void skipCall(long id) {
        add(SKIP_CALL, server, id);
      }

      @Override
      public void rememberKey(long id, long forUs) {
        int at = add(KEEP, server, id);
        records.putInt(at + 12, u32(forUs));
      }

      @Override
      public void forgetKey(long id) {
        add(FORGET, server, id);
      }

      @Override
      public void replayResult(long id) {
        add(REUSE, server, id);
      }

      @Override
      public void setHealth(boolean good, boolean fromStore) {
        int at = add(HEALTH, server);
        records.put(at + 4, (byte) (fromStore ? 1 : 0));
        records.put(at + 5, (byte) (good ? 1 : 0));
      }

      @Override
      public void setLoadAdvice(double value) {
        int at = add(SAY, server);
        records.putFloat(at + 4, (float) value);
      }

      @Override
      public void setIdleTimeout(long us) {
        int at = add(IDLE, server);
        records.putInt(at + 4, u32(us));
      }

      @Override
      public void startTimer(long inUs, long tag) {
        int at = add(WAKE, server);
        records.putInt(at + 4, u32(inUs));
        records.putLong(at + 8, tag);
      }

      @Override
      public void log(String line) {
        text(add(LOG, server), line);
      }
    };
  }
}
