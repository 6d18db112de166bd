package rig2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A node with the configuration of deploy/example.json but 144 MB, and two balancers, which send 20
 * requests a second on connections that they keep. The disruption: bad clients open 900 connections,
 * of the 1,024 descriptors that the node may hold, and send an array whose last string is never
 * complete; they come again for 6 s when they are closed. Each request of the balancers has to be answered by
 * its due time: 5 s, with 80 ms of slack and 50 ms on sockets.
 */
final class BadClients {
  private static final int MEMORY_MB = 144;
  private static final int BAD_CONNECTIONS = 900;
  private static final int STRINGS = 8;
  private static final int STRING_BYTES = 4_096;
  private static final int QUIET_MS = 1_500;
  private static final int TROUBLE_MS = 6_000;
  private static final int SEND_MS = 12_000;
  private static final int SEND_EVERY_MS = 50;
  private static final int WAIT_MS = 5_000;
  private static final int SLACK_MS = 130;
  private static final int RUN_MS = 100;

  /** Requests without an answer break the rule from 3 in 1,000 on. */
  private static final int ALLOWED_PER_1000 = 3;

  private record Sent(Rig.RespClient client, long tag, String id, long at) {}

  public static void main(String[] args) {
    Rig.main(args, BadClients::run);
  }

  private static int run(Rig rig) throws Exception {
    Platform platform = new Platform(rig);
    platform.runtime.defaultRunMs = RUN_MS;
    platform.memoryMb = MEMORY_MB;
    Rig.Program node = platform.start("node", platform.runtime, 4_000, "");
    node.awaitLog(20_000, "runtime is ready");
    Rig.RespClient[] balancers = {
      rig.new RespClient(platform.listen), rig.new RespClient(platform.listen)
    };
    List<Sent> sent = new ArrayList<>();
    long startedAt = Rig.nowMs();
    long next = startedAt;
    boolean badClientsCame = !rig.trouble;
    while (Rig.nowMs() < startedAt + SEND_MS) {
      long now = Rig.nowMs();
      if (!badClientsCame && now >= startedAt + QUIET_MS) {
        badClientsCame = true;
        rig.say("bad clients come");
        rig.thread("bad clients", () -> misbehave(platform.listen));
      }
      if (now >= next) {
        next += SEND_EVERY_MS;
        send(balancers[sent.size() % balancers.length], sent);
      }
      Rig.sleep(2);
    }
    long judgeAt = sent.get(sent.size() - 1).at + WAIT_MS + SLACK_MS;
    Rig.sleep(judgeAt - Rig.nowMs());
    return judge(rig, node, platform, sent, startedAt);
  }

  /** The bad clients, on one thread: each connection is opened again whenever it has ended. */
  private static void misbehave(int port) throws Exception {
    StringBuilder array = new StringBuilder("*" + STRINGS + "\r\n");
    for (int i = 0; i < STRINGS; i++) {
      array.append("$" + STRING_BYTES + "\r\n").append("z".repeat(STRING_BYTES)).append("\r\n");
    }
    byte[] part = Rig.latin(array.substring(0, array.length() - STRING_BYTES / 16));
    InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
    ByteBuffer input = ByteBuffer.allocate(4_096);
    long until = Rig.nowMs() + TROUBLE_MS;
    try (Selector selector = Selector.open()) {
      while (Rig.nowMs() < until) {
        for (int open = selector.keys().size(); open < BAD_CONNECTIONS; open++) {
          SocketChannel channel = SocketChannel.open();
          channel.configureBlocking(false);
          channel.connect(address);
          channel.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(part));
        }
        selector.select(20);
        for (SelectionKey key : selector.selectedKeys()) {
          try {
            continueOn(key, input);
          } catch (IOException e) {
            key.channel().close();
          }
        }
        selector.selectedKeys().clear();
        selector.selectNow(); // forgets closed connections
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
    }
  }

  private static void continueOn(SelectionKey key, ByteBuffer input) throws IOException {
    SocketChannel channel = (SocketChannel) key.channel();
    if (key.isConnectable()) {
      channel.finishConnect();
      key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    } else {
      ByteBuffer output = (ByteBuffer) key.attachment();
      channel.write(output);
      key.interestOps(output.hasRemaining() ? key.interestOps() : SelectionKey.OP_READ);
      input.clear();
      if (channel.read(input) < 0) {
        channel.close();
      }
    }
  }

  private static void send(Rig.RespClient balancer, List<Sent> sent) {
    String id = String.format("%016x", 0x5000 + sent.size());
    long at = Rig.nowMs();
    long tag = -1; // the node has ended the connection: it proves nothing, and no answer can come
    try {
      tag =
          balancer.send(
              "DO", "balance-check", Platform.fields(id, at, WAIT_MS, ""), "request " + id);
    } catch (IOException e) {
      // judged as not sent
    }
    sent.add(new Sent(balancer, tag, id, at));
  }

  private static int judge(
      Rig rig, Rig.Program node, Platform platform, List<Sent> all, long startedAt)
      throws Exception {
    int lost = 0;
    int written = 0;
    Map<String, Integer> counts = new TreeMap<>();
    for (Sent each : all) {
      Rig.Answer answer = each.client.answers.get(each.tag);
      boolean inTime = answer != null && answer.atMs() <= each.at + WAIT_MS + SLACK_MS;
      String end = each.tag < 0 ? "not sent" : inTime ? answer.word() : "NO ANSWER";
      written += each.tag < 0 ? 0 : 1;
      lost += end.equals("NO ANSWER") ? 1 : 0;
      counts.merge(end, 1, Integer::sum);
      rig.say(each.id + " sent at " + (each.at - startedAt) + " ms: " + end);
    }
    String check = "no answer";
    try (Rig.RespClient health = rig.new RespClient(platform.listen)) {
      long tag = health.send("PING", "");
      if (Rig.await(5_000, () -> health.answers.containsKey(tag))) {
        check = health.answers.get(tag).word();
      }
    } catch (IOException e) {
      check = e.toString();
    }
    rig.say(
        "sent " + written + ", answers " + counts + "; long after the bad clients a health check gets " + check
            + ", the process " + (node.process.isAlive() ? "lives" : "has ended"));
    boolean tooMany = lost * 1000 >= ALLOWED_PER_1000 * written && lost > 0;
    return tooMany || !check.equals("UP") || !node.process.isAlive() ? Rig.BROKEN : Rig.HELD;
  }
}
