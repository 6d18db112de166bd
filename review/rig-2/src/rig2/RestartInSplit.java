package rig2;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three brokers of a fleet; n1 publishes the routes. Its file is changed (the instance moves to
 * another address) and n1 is started anew with it. The disruption: for 6 s from its start n1's zone
 * is partitioned from the others. Later changes have to win: once the table is one again, requests
 * may go to the new address only.
 */
final class RestartInSplit {
  private static final int SPLIT_MS = 6_000;
  private static final int HEAL_MS = 20_000;

  /**
   * The link to one broker's fleet address, over UDP and TCP. While the zones are partitioned it
   * passes no datagram to or from n1 and no exchange; datagrams between n2 and n3 pass.
   */
  private static final class Link {
    private static final Set<Integer> CUT_SENDERS = ConcurrentHashMap.newKeySet();

    final int target = freePort();
    final int port = freePort();
    volatile boolean datagramsCut;
    volatile boolean exchangesCut;

    Link(Rig rig) throws IOException {
      InetAddress host = InetAddress.getByName("127.0.0.1");
      DatagramSocket in = new DatagramSocket(new InetSocketAddress(host, port));
      rig.thread(
          "datagrams",
          () -> {
            byte[] buffer = new byte[65536];
            while (true) {
              DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
              in.receive(packet);
              if (!datagramsCut && !CUT_SENDERS.contains(packet.getPort())) {
                in.send(new DatagramPacket(buffer, packet.getLength(), host, target));
              }
            }
          });
      ServerSocket server = new ServerSocket(port, 64, host);
      rig.thread(
          "exchanges",
          () -> {
            while (true) {
              Socket client = server.accept();
              rig.thread("exchange", () -> exchange(rig, host, client));
            }
          });
    }

    private void exchange(Rig rig, InetAddress host, Socket client) throws Exception {
      while (exchangesCut) { // nothing gets through; what is sent meanwhile waits
        Rig.sleep(20);
      }
      try {
        Socket server = new Socket(host, target);
        pump(rig, client, server);
        pump(rig, server, client);
      } catch (IOException e) {
        client.close();
      }
    }

    private static void pump(Rig rig, Socket from, Socket to) {
      rig.thread(
          "pump",
          () -> {
            try (from;
                to) {
              byte[] buffer = new byte[8192];
              InputStream in = from.getInputStream();
              for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                to.getOutputStream().write(buffer, 0, n);
              }
            }
          });
    }

    /** Returns a port that is free for UDP and TCP. */
    private static int freePort() {
      try {
        while (true) {
          int port = Rig.freePort();
          try (DatagramSocket udp =
              new DatagramSocket(
                  new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port))) {
            return udp.getLocalPort();
          } catch (SocketException e) {
            continue;
          }
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Partitions n1's zone from that of n2 and n3, or ends the partition. */
    static void partition(Link[] links, boolean cut) {
      links[0].datagramsCut = cut;
      for (Link each : links) {
        each.exchangesCut = cut;
      }
      if (cut) {
        CUT_SENDERS.add(links[0].target);
      } else {
        CUT_SENDERS.clear();
      }
    }
  }

  public static void main(String[] args) {
    Rig.main(args, RestartInSplit::run);
  }

  private static int run(Rig rig) throws Exception {
    AtomicInteger[] runs = {new AtomicInteger(), new AtomicInteger()};
    int[] services = new int[2];
    for (int i = 0; i < 2; i++) {
      int number = i;
      services[i] =
          rig.service(
              "service " + i,
              (request, out) -> {
                runs[number].incrementAndGet();
                out.write(Rig.httpReply("text/plain", Rig.latin("from " + number)));
              });
    }
    Link[] links = {new Link(rig), new Link(rig), new Link(rig)};
    int[] uwsgi = {Rig.freePort(), Rig.freePort(), Rig.freePort()};
    int[] admin = {Rig.freePort(), Rig.freePort(), Rig.freePort()};
    Rig.Program[] nodes = new Rig.Program[3];
    rig.write("routes.yaml", routes(services[0], 2));
    for (int i = 0; i < 3; i++) {
      rig.write("n" + (i + 1) + ".yaml", broker(rig, i, links, uwsgi[i], admin[i]));
      String file = rig.temporary.resolve("n" + (i + 1) + ".yaml").toString();
      nodes[i] = rig.start("n" + (i + 1), " --broker " + file, Map.of());
    }
    boolean up =
        Rig.await(
            25_000,
            () ->
                ask(uwsgi[0]).equals("from 0")
                    && ask(uwsgi[1]).equals("from 0")
                    && ask(uwsgi[2]).equals("from 0"));
    rig.say("all three serve by the table: " + up);
    if (!up) {
      return Rig.COULD_NOT_RUN;
    }
    // a change of the running publisher, as in every day's use
    rig.write("routes.yaml", routes(services[0], 1));
    nodes[0].signal("HUP");
    Rig.sleep(3000);
    nodes[0].signal("TERM");
    nodes[0].process.waitFor();
    rig.say("n1 has ended; its file now names another address");
    rig.write("routes.yaml", routes(services[1], 1));
    if (rig.trouble) {
      Link.partition(links, true);
      rig.say("n1's zone is partitioned from that of n2 and n3");
    }
    nodes[0] = rig.start("n1-again", " --broker " + rig.temporary.resolve("n1.yaml"), Map.of());
    Rig.sleep(SPLIT_MS);
    rig.say("n1 answers " + ask(uwsgi[0]) + ", n2 answers " + ask(uwsgi[1]));
    Link.partition(links, false);
    rig.say("the zones reach each other");
    boolean one =
        Rig.await(
            HEAL_MS,
            () -> {
              String a = digest(admin[0]);
              return !a.isEmpty() && a.equals(digest(admin[1])) && a.equals(digest(admin[2]));
            });
    Rig.sleep(1000);
    rig.say("one table: " + one);
    if (!one) {
      return Rig.COULD_NOT_RUN;
    }
    for (int i = 0; i < 3; i++) {
      rig.say("n" + (i + 1) + " answers " + ask(uwsgi[i]) + "; " + digest(admin[i]));
    }
    int before = runs[0].get();
    for (int i = 0; i < 10; i++) {
      ask(uwsgi[0]);
    }
    int toOld = runs[0].get() - before;
    rig.say("of 10 requests to n1, " + toOld + " went to the address that no file names any more");
    return toOld > 0 || runs[1].get() == 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static String ask(int port) {
    try {
      return Rig.ask(port, Rig.vars("GET", "/cards/77/balance", "aspen-dining"), new byte[0], 5000).text();
    } catch (IOException e) {
      return "";
    }
  }

  private static String digest(int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(Rig.latin("GET /v1/routes HTTP/1.1\r\nHost: n\r\n\r\n"));
      String text = Rig.ascii(socket.getInputStream().readAllBytes());
      java.util.regex.Matcher m = java.util.regex.Pattern.compile("\"digest\":\\s*\"([^\"]*)\"").matcher(text);
      return m.find() ? m.group(1) : text.substring(Math.max(0, text.indexOf("\r\n\r\n")));
    } catch (IOException e) {
      return "";
    }
  }

  private static String routes(int service, int weight) {
    return "services:\n  cards:\n    instances:\n      c1: {address: \"uwsgi://127.0.0.1:" + service
        + "\", zone: regina-dc, weight: " + weight + ", state: on}\n";
  }

  private static String broker(Rig rig, int i, Link[] links, int uwsgi, int admin) {
    return "name: n" + (i + 1) + "\noperators: {listen: 127.0.0.1:" + admin + "}\nfleet:\n"
        + "  cluster: prairie\n  listen: 127.0.0.1:" + links[i].target + "\n  advertise: 127.0.0.1:" + links[i].port + "\n"
        + "  zone: " + (i == 0 ? "regina-dc" : "saskatoon-dc") + "\n  seeds: [127.0.0.1:" + links[(i + 1) % 3].port + ", 127.0.0.1:" + links[(i + 2) % 3].port + "]\n"
        + "  period_ms: 1000\n" + (i == 0 ? "routes:\n  file: routes.yaml\n" : "")
        + "uwsgi:\n  listen: 127.0.0.1:" + uwsgi + "\ndescriptions:\n  - openapi: " + rig.repo.resolve("deploy/descriptions/cards.yaml") + "\n"
        + "services:\n  cards:\n    backend: fleet\n    contract:\n      getBalance: {class: balance-check, aim_ms: 2300, deadline_ms: 8600, effect: pure}\n"
        + "    budget:\n      aspen-dining: {quota_per_s: 200}\n";
  }
}
