package graderelay.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Makes copies of requests that were carried out and answered. They arrive once more at the same
 * address, whoever listens there by then, and nobody waits for their answers.
 */
public final class RequestCopies {
  /** The shortest delay of a copy that is drawn at random. */
  private static final double SHORTEST_DELAY_S = 0.001;

  private static final int FIRST_SUCCESS = 200;
  private static final int LAST_SUCCESS = 299;

  /** A request that changes something at its receiver. */
  public record Request(String address, String method, String path, String query, byte[] body) {
    /** True for commands to a worker of which one launches a task of the job. */
    public boolean launches(String job) {
      String text = new String(body, StandardCharsets.UTF_8);
      return path.equals("/commands") && text.contains("launch") && text.contains(job + "/");
    }
  }

  private final SimLoop loop;
  private final RandomGenerator random;
  private final Consumer<Request> delivery;
  private final List<Request> kept = new ArrayList<>();
  private Predicate<Request> mustKeep = request -> false;
  private double chance;
  private double longestDelayS;

  RequestCopies(SimLoop loop, RandomGenerator random, Consumer<Request> delivery) {
    this.loop = loop;
    this.random = random;
    this.delivery = delivery;
  }

  /** From now on the requests that match are kept for {@link #deliverKept}. */
  public void keep(Predicate<Request> match) {
    mustKeep = match;
  }

  /** Returns the requests that were kept so far. */
  public List<Request> kept() {
    return kept;
  }

  /** All kept requests arrive once more, in order. */
  public void deliverKept() {
    kept.forEach(delivery);
  }

  /**
   * From now on a share of all requests is copied, with delays that are as likely to be short as
   * long; a share of 0 ends that, but not what is on its way.
   */
  public void draw(double share, double newLongestDelayS) {
    chance = share;
    longestDelayS = newLongestDelayS;
  }

  /** A request was carried out and answered. Operators' writes are not copied. */
  void onAnswered(Request request, int status) {
    boolean succeeded = status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    boolean changesNothing = request.method().equals("GET");
    if (!succeeded || changesNothing || request.path().startsWith("/admin")) {
      return;
    }
    if (mustKeep.test(request)) {
      kept.add(request);
    }
    if (chance > 0 && random.nextDouble() < chance) {
      double delayS =
          SHORTEST_DELAY_S * Math.pow(longestDelayS / SHORTEST_DELAY_S, random.nextDouble());
      loop.after(delayS, () -> delivery.accept(request));
    }
  }
}
