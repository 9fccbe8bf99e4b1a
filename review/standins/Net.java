import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on loopback for the stand-ins: a small server, a small client, and a link to hold. */
final class Net {
  static final ObjectMapper JSON = new ObjectMapper();

  private Net() {}

  record Request(String method, String path, String query, JsonNode body) {}

  record Answer(int status, JsonNode body) {}

  /** Answers a request; may block. Null closes the connection without an answer. */
  interface Handler {
    Answer handle(Request request) throws Exception;
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static double now() {
    return System.nanoTime() / 1e9;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        bytes.write(c);
      }
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Reads the headers and the body of a message; closes[0] is set by "Connection: close". */
  private static JsonNode body(InputStream in, boolean[] closes) throws IOException {
    int length = 0;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String[] parts = header.split(":", 2);
      if (parts[0].equalsIgnoreCase("content-length")) {
        length = Integer.parseInt(parts[1].trim());
      } else if (parts[0].equalsIgnoreCase("connection")) {
        closes[0] |= parts[1].trim().equalsIgnoreCase("close");
      }
    }
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException();
    }
    try {
      return length == 0 ? object() : JSON.readTree(bytes);
    } catch (IOException e) {
      return object();
    }
  }

  /** Listens on a free loopback port. */
  static int serve(Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    daemon(
        () -> {
          while (true) {
            try {
              Socket socket = server.accept();
              daemon(() -> connection(socket, handler));
            } catch (IOException e) {
              return;
            }
          }
        });
    return server.getLocalPort();
  }

  private static void connection(Socket socket, Handler handler) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      boolean[] closes = {false};
      while (!closes[0]) {
        String[] start = line(in).split(" ");
        String[] target = start[1].split("\\?", 2);
        JsonNode body = body(in, closes);
        Answer answer =
            handler.handle(
                new Request(start[0], target[0], target.length > 1 ? target[1] : "", body));
        if (answer == null) {
          return;
        }
        byte[] bytes = JSON.writeValueAsBytes(answer.body());
        String head =
            "HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + bytes.length + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
      }
    } catch (Exception e) {
      // The connection is over.
    }
  }

  /** A persistent connection to one address, with one request in flight. */
  static final class Client {
    private Socket socket;
    private InputStream in;
    private int port;

    /** Returns the answer, or null if there was none in time. */
    Answer call(int toPort, String method, String path, JsonNode body, double timeoutS) {
      try {
        if (socket == null || port != toPort) {
          close();
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", toPort), (int) (timeoutS * 1000));
          in = new BufferedInputStream(socket.getInputStream());
          port = toPort;
        }
        socket.setSoTimeout((int) (timeoutS * 1000));
        byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + toPort
                + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                + "\r\n\r\n";
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
        int status = Integer.parseInt(line(in).split(" ")[1]);
        boolean[] closes = {false};
        JsonNode answer = body(in, closes);
        if (closes[0]) {
          close();
        }
        return new Answer(status, answer);
      } catch (Exception e) {
        close();
        return null;
      }
    }

    void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is closed.
      }
      socket = null;
    }
  }

  /**
   * A network link to one address. While it is held, what was sent on open connections stays on the
   * way and is delivered in order afterwards, even if the sender has given up and closed the
   * connection; a connection that is opened meanwhile leads nowhere, also later.
   */
  static final class Link {
    final int port;
    private final int target;
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> lost = ConcurrentHashMap.newKeySet();
    private boolean held;

    Link(int target) throws IOException {
      this.target = target;
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
      port = server.getLocalPort();
      daemon(this::accept);
    }

    synchronized void hold(boolean on) {
      held = on;
      notifyAll();
      if (!on) {
        lost.forEach(Link::closeQuietly);
        lost.clear();
      }
    }

    private synchronized boolean isHeld() {
      return held;
    }

    private synchronized void awaitOpen() throws InterruptedException {
      while (held) {
        wait();
      }
    }

    private void accept() {
      while (true) {
        try {
          Socket from = server.accept();
          if (isHeld()) {
            lost.add(from);
            continue;
          }
          Socket to = new Socket();
          try {
            to.connect(new InetSocketAddress("127.0.0.1", target), 1000);
          } catch (IOException e) {
            closeQuietly(from);
            continue;
          }
          from.setTcpNoDelay(true);
          to.setTcpNoDelay(true);
          daemon(() -> pump(from, to));
          daemon(() -> pump(to, from));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void pump(Socket from, Socket to) {
      byte[] buffer = new byte[65536];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          awaitOpen();
          out.write(buffer, 0, n);
          out.flush();
        }
        awaitOpen();
        to.shutdownOutput();
      } catch (IOException | InterruptedException e) {
        closeQuietly(from);
        closeQuietly(to);
      }
    }

    private static void closeQuietly(Socket socket) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }
}
