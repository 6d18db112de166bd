package rosecleat.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosecleat.policy.CancelMode;
import rosecleat.policy.DownstreamMode;
import rosecleat.policy.Idempotency;
import rosecleat.policy.LoadAdviceMode;
import rosecleat.policy.PolicyActions;
import rosecleat.policy.PolicyEvents;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.ServerGauges;

/**
 * Tests the decoding of events and settings, the encoding of actions, and the errors of malformed
 * input.
 */
class SimulatorAdapterTest {
  private static final String SETTINGS =
      """
      {"unheard-of": [1, {"a": 2}], "servers": 3, "worth-by": "work", "over-share-worth": 0.25,
       "bounds": {"max-retry-after-us": 900000, "retry-after": true}, "clients": {"marks-retry": true},
       "grades": [{"credit": 2.5, "deadline-us": 3000000, "effect": "token", "late-worth": 0.1,
                   "promise-us": 800000, "window-us": 7000000, "aim-stretch": 1.5},
                  {"credit": 1, "deadline-us": 2000000, "effect": "side_effect", "promise-us": 700000},
                  {"credit": 1, "deadline-us": 2000000, "effect": "pure", "promise-us": 700000}],
       "parties": [{"fraction": 1, "quota-per-s": 30}],
       "rules": {"answer-slack-us": 60000, "cold-share": 0.2, "fall-multiple": 6, "overload-for-us": 2000000,
                 "ramp-time-us": 9000000, "stop-sending-within-us": 1500000},
       "extra": {"below": "shared", "calls-out": 0.7, "calls-over-us": 4000000, "class-calls": [true, false, false],
                 "clients-total": 5, "cold": true, "cpus": 4, "deep-checks": true,
                 "gauges": ["core_use", "on_cores", "mystery", "links"], "halt": "pause", "heeded-us": 1000000,
                 "idle-us": 15000000, "key-kb": 12.5, "lingers-us": 200000, "mem-limit-kb": 9000, "readiness": true,
                 "passes-deadline": true, "run-factor": 4, "say": "credit", "share-for-us": 50000, "tells-gone": true,
                 "worth-without": [0.5, 0, 0]}}\
      """;

  /** Records the policy's events as text, and performs the given actions at each arrival. */
  private static final class Recorder implements SimulatorAdapter.PolicyFactory {
    final List<String> calls = new ArrayList<>();
    PolicySettings settings;
    java.util.function.Consumer<PolicyActions> onArrival = actions -> {};

    @Override
    public PolicyEvents create(PolicySettings newSettings, long seed, PolicyActions actions) {
      settings = newSettings;
      calls.add("create " + seed);
      return (PolicyEvents)
          Proxy.newProxyInstance(
              getClass().getClassLoader(),
              new Class<?>[] {PolicyEvents.class},
              (proxy, method, args) -> {
                StringBuilder line = new StringBuilder(method.getName());
                for (Object arg : args) {
                  if (arg instanceof ServerGauges gauges) {
                    line.append(" [")
                        .append(gauges.coreUtilisation)
                        .append(' ')
                        .append(gauges.runnable)
                        .append(' ')
                        .append(gauges.memoryShare)
                        .append(' ')
                        .append(gauges.connections)
                        .append(']');
                  } else {
                    line.append(' ').append(arg);
                  }
                }
                calls.add(line.toString());
                if (method.getName().equals("arrived")) {
                  onArrival.accept(actions);
                }
                return null;
              });
    }
  }

  private static byte[] record(int code, int server) {
    ByteBuffer buffer = ByteBuffer.allocate(64).order(ByteOrder.LITTLE_ENDIAN);
    buffer.putShort((short) code).putShort((short) server);
    return buffer.array();
  }

  private static byte[] hex(String text) {
    byte[] given = HexFormat.of().parseHex(text.replace(" ", ""));
    return java.util.Arrays.copyOf(given, 64);
  }

  private static byte[] start(int server, int from, int length) {
    byte[] record = record(1000, server);
    ByteBuffer.wrap(record)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putLong(4, 77)
        .putInt(12, from)
        .putInt(16, length);
    return record;
  }

  private static byte[] frame(long clock, String tail, byte[]... records) {
    byte[] text = tail.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer =
        ByteBuffer.allocate(16 + 64 * records.length + text.length).order(ByteOrder.LITTLE_ENDIAN);
    buffer.putInt(64 * records.length + text.length).putInt(records.length).putLong(clock);
    for (byte[] record : records) {
      buffer.put(record);
    }
    return buffer.put(text).array();
  }

  private static byte[] join(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private static byte[] startBatch() {
    return frame(1000, SETTINGS, start(3, 0, SETTINGS.getBytes(StandardCharsets.UTF_8).length));
  }

  private static byte[] serve(Recorder recorder, byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(input), out, recorder).serve();
    return out.toByteArray();
  }

  @Test
  void emptyBatchGetsEmptyReply() throws IOException {
    assertArrayEquals(new byte[8], serve(new Recorder(), frame(5, "")));
  }

  private static byte[] batchOfAllEvents() {
    byte[] unknown = record(1777, 3);
    byte[] runEnded = hex("fc03 0300 c4913a5dbd9d0e00 fa 44480000");
    byte[] callEnded = hex("1004 0300 0900000000000000 fe 01000000");
    byte[] callNeeded = hex("0604 0300 0900000000000000");
    byte[] draining = hex("1a04 0300 40420f00");
    byte[] cancelled = hex("2404 0300 0900000000000000");
    byte[] arrived =
        hex(
            "f203 0300 c4913a5dbd9d0e00 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 0000c441"
                + " 0000203f0700 11000000 3a070000 192b6f0e54f20100");
    byte[] timer = hex("2e04 0300 4d00000000000000 04 52b81e3f 00004040 85ebd13e 0000f042");
    return join(
        startBatch(),
        frame(
            2000,
            "",
            unknown,
            arrived,
            runEnded,
            callNeeded,
            callEnded,
            draining,
            cancelled,
            timer,
            record(1080, 3),
            cancelled,
            record(1060, 9)));
  }

  @Test
  void eachEventIsDispatchedToPolicyWithItsFields() throws IOException {
    Recorder recorder = new Recorder();
    serve(recorder, batchOfAllEvents());
    assertEquals("create 77", recorder.calls.get(0));
    assertEquals("start 1000", recorder.calls.get(1));
    assertEquals(
        "arrived 2000 PolicyRequest[id="
            + 0x0e9dbd5d3a91c4L
            + ", classIndex=0, tenantIndex=0, readKey="
            + 0x91f03b7c55d20a64L
            + ", timeoutUs=240000, runTimeHintUs=12000, queuedKb=24.5, rank=0.625, retry=true,"
            + " write=true, callerId=17, ageUs=1850, originalId="
            + 0x0001f2540e6f2b19L
            + "]",
        recorder.calls.get(2));
    assertEquals("ended 2000 " + 0x0e9dbd5d3a91c4L + " CANCELLED 18500", recorder.calls.get(3));
    assertEquals("callNeeded 2000 9", recorder.calls.get(4));
    assertEquals("callEnded 2000 9 REJECTED 1", recorder.calls.get(5));
    assertEquals("draining 2000 1000000", recorder.calls.get(6));
    assertEquals("cancelled 2000 9", recorder.calls.get(7));
    assertTrue(recorder.calls.get(8).startsWith("timerFired 2000 77 [0.6"));
    assertTrue(recorder.calls.get(8).endsWith(" 3.0 -1.0 120.0]"));
    // Events of a stopped server and of a server that was never started are not dispatched.
    assertEquals(9, recorder.calls.size());
  }

  @Test
  void settingsAreReadAndUnknownKeysAreIgnored() throws IOException {
    Recorder recorder = new Recorder();
    serve(recorder, startBatch());
    PolicySettings settings = recorder.settings;
    assertEquals(
        new PriorityClass(
            2.5, 0.1, 800_000, 1.5, 3_000_000, Idempotency.KEYED, 7_000_000, true, 0.5),
        settings.classes().get(0));
    assertEquals(Idempotency.UNSAFE, settings.classes().get(1).idempotency());
    assertEquals(30, settings.tenants().get(0).quotaPerS());
    assertEquals(CancelMode.PAUSE, settings.cancelMode());
    assertEquals(LoadAdviceMode.CREDIT, settings.loadAdviceMode());
    assertEquals(DownstreamMode.SHARED, settings.downstreamMode());
    assertEquals(0.7, settings.concurrentCalls());
    assertEquals(900_000, settings.maxRetryAfterUs());
    assertEquals(1_500_000, settings.graceUs());
    assertTrue(
        settings.coldStart()
            && settings.weightByWork()
            && settings.propagatesDeadline()
            && settings.marksRetries()
            && settings.deepChecks());
  }

  @Test
  void absentOptionalSettingsAreReadAsDefaults() throws IOException {
    Recorder recorder = new Recorder();
    String bare =
        SETTINGS
            .replaceAll("\"parties\": \\[[^\\]]*\\],", "")
            .replaceAll("\"worth-without\": \\[[^\\]]*\\]", "\"worth-without\": [0.5]")
            .replaceAll("\"class-calls\": \\[[^\\]]*\\]", "\"class-calls\": []")
            .replaceAll("\"clients-total\": 5,", "")
            .replaceAll("\"calls-out\": 0.7", "\"calls-out\": 0");
    serve(recorder, settings(bare));
    PolicySettings settings = recorder.settings;
    assertTrue(settings.tenants().isEmpty());
    assertEquals(0, settings.callers());
    assertEquals(0, settings.concurrentCalls());
    assertEquals(0, settings.classes().get(2).weightWithoutCall());
    assertFalse(settings.classes().get(0).callsDownstream());
    new SimulatorAdapter(new ByteArrayInputStream(settings(bare)), new ByteArrayOutputStream())
        .serve(); // the policy itself accepts these settings
  }

  private static void performEachAction(PolicyActions actions) {
    actions.run(1);
    actions.reject(2, 250_000, true);
    actions.fail(3);
    actions.cancel(4);
    actions.call(5, 123_456);
    actions.skipCall(6);
    actions.rememberKey(7, 10);
    actions.forgetKey(8);
    actions.replayResult(9);
    actions.setHealth(true, true);
    actions.setLoadAdvice(0.25);
    actions.setIdleTimeout(20);
    actions.startTimer(500_000, 0x4d);
    actions.log("two servers known");
  }

  /** The header, one record per action of {@link #performEachAction} in order, and the tail. */
  private static final String REPLY_OF_ALL_ACTIONS =
      "61010000"
          + "0e000000"
          + "e8030300"
          + "0100000000000000"
          + "000000000000000000000000"
          + "f2030300"
          + "0200000000000000"
          + "90d00300"
          + "01"
          + "00000000000000"
          + "fc030300"
          + "0300000000000000"
          + "000000000000000000000000"
          + "06040300"
          + "0400000000000000"
          + "000000000000000000000000"
          + "10040300"
          + "0500000000000000"
          + "40e2010000000000"
          + "00000000"
          + "1a040300"
          + "0600000000000000"
          + "000000000000000000000000"
          + "24040300"
          + "0700000000000000"
          + "0a000000"
          + "0000000000000000"
          + "2e040300"
          + "0800000000000000"
          + "000000000000000000000000"
          + "38040300"
          + "0900000000000000"
          + "000000000000000000000000"
          + "42040300"
          + "0101"
          + "000000000000000000000000000000000000"
          + "4c040300"
          + "0000803e"
          + "00000000000000000000000000000000"
          + "56040300"
          + "14000000"
          + "00000000000000000000000000000000"
          + "60040300"
          + "20a10700"
          + "4d00000000000000"
          + "0000000000000000"
          + "6a040300"
          + "00000000"
          + "11000000"
          + "000000000000000000000000"
          + HexFormat.of().formatHex("two servers known".getBytes(StandardCharsets.UTF_8));

  @Test
  void eachActionIsEncodedAsItsRecord() throws IOException {
    Recorder recorder = new Recorder();
    recorder.onArrival = SimulatorAdapterTest::performEachAction;
    byte[] out = serve(recorder, join(startBatch(), frame(2000, "", record(1010, 3))));
    String encoded = HexFormat.of().formatHex(out, 8, out.length);
    assertEquals(REPLY_OF_ALL_ACTIONS, encoded);
  }

  @Test
  void replyBufferGrowsAndNextReplyIsCleared() throws IOException {
    Recorder recorder = new Recorder();
    int[] repetitions = {3000};
    recorder.onArrival =
        actions -> {
          for (int i = 0; i < repetitions[0]; i++) {
            actions.rememberKey(5, 6);
            actions.setLoadAdvice(2);
          }
          repetitions[0] = 1;
        };
    byte[] out =
        serve(
            recorder,
            join(startBatch(), frame(1, "", record(1010, 3)), frame(2, "", record(1010, 3))));
    assertEquals(8 + 8 + 6000 * 24 + 8 + 48, out.length);
    assertEquals(
        "24040300"
            + "0500000000000000"
            + "06000000"
            + "0000000000000000"
            + "4c040300"
            + "00000040"
            + "00000000000000000000000000000000",
        HexFormat.of().formatHex(out, out.length - 48, out.length));
  }

  @Test
  void policyExceptionIsReportedInReply() throws IOException {
    Recorder recorder = new Recorder();
    recorder.onArrival =
        actions -> {
          throw new IllegalStateException("boom");
        };
    byte[] out = serve(recorder, join(startBatch(), frame(1, "", record(1010, 3))));
    assertEquals(1140, (out[16] & 0xff) | (out[17] & 0xff) << 8);
    assertTrue(new String(out, StandardCharsets.UTF_8).contains("boom"));
  }

  private static void assertRejected(String message, byte[] input) {
    WireException e = assertThrows(WireException.class, () -> serve(new Recorder(), input));
    assertEquals(message, e.getMessage());
  }

  private static byte[] settings(String text) {
    return frame(1, text, start(3, 0, text.getBytes(StandardCharsets.UTF_8).length));
  }

  @Test
  void malformedInputIsRejectedWithItsCause() {
    assertRejected("input ended inside a frame header: got 7 of 16 bytes", new byte[7]);
    assertRejected(
        "input ended inside a frame body of " + (startBatch().length - 16) + " bytes",
        java.util.Arrays.copyOf(startBatch(), 40));
    byte[] tooLong = new byte[16];
    tooLong[3] = (byte) 0xff;
    assertRejected("frame body of 4278190080 bytes exceeds the limit of 1073741824 bytes", tooLong);
    byte[] tooShort = new byte[16];
    tooShort[4] = 1;
    assertRejected("frame body of 0 bytes is too short for 1 records of 64 bytes", tooShort);
    assertRejected(
        "text ends at byte 67 of a frame body of 66 bytes", frame(1, "{}", start(3, 1, 2)));
    assertRejected("settings are not JSON", settings("{no"));
    assertRejected("settings are not a JSON object", settings("[]"));
    assertRejected("settings lack grades", settings("{}"));
    assertRejected("settings lack cpus", settings(SETTINGS.replace("\"cpus\"", "\"cpu\"")));
    assertRejected(
        "settings lack deadline-us", settings(SETTINGS.replace("\"deadline-us\"", "\"x\"")));
    assertRejected(
        "settings have an unknown word for halt",
        settings(SETTINGS.replace("\"pause\"", "\"nap\"")));
  }

  @Test
  void malformedInputPrintsOneErrorLineAndNothingOnStandardOutput() {
    PrintStream err = System.err;
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setErr(new PrintStream(lines, true, StandardCharsets.UTF_8));
    try {
      String[] arguments = {"benchlink"};
      assertEquals(2, Main.run(arguments, new ByteArrayInputStream(new byte[3]), out));
      assertEquals(
          "rosecleat: input ended inside a frame header: got 3 of 16 bytes"
              + System.lineSeparator(),
          lines.toString(StandardCharsets.UTF_8));
      assertEquals(0, Main.run(arguments, new ByteArrayInputStream(new byte[0]), out));
      assertEquals(2, Main.run(new String[0], new ByteArrayInputStream(new byte[0]), out));
    } finally {
      System.setErr(err);
    }
    assertEquals(0, out.size());
    assertFalse(lines.toString(StandardCharsets.UTF_8).contains("Exception"));
  }
}
