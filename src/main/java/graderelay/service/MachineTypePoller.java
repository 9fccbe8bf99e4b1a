package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the cloud's machine types: every {@link #TYPES_RETRY_S} until it has them, then every
 * {@link #TYPES_EVERY_S} on the leader and five times as seldom on a follower.
 */
final class MachineTypePoller {
  /** Seconds between reads of the machine types by the leader: spot prices move slowly. */
  private static final double TYPES_EVERY_S = 60;

  private final Loop loop;
  private final CloudClient cloud;
  private final BooleanSupplier leading;
  private final Consumer<List<MachineType>> onTypes;
  private List<MachineType> types;
  private Loop.Timer timer;
  private boolean closed;

  /**
   * Makes the poller; it reads nothing before {@link #start}.
   *
   * @param leading whether this controller is the leader now
   * @param onTypes hears every list that is not empty
   */
  MachineTypePoller(
      Loop loop, CloudClient cloud, BooleanSupplier leading, Consumer<List<MachineType>> onTypes) {
    this.loop = loop;
    this.cloud = cloud;
    this.leading = leading;
    this.onTypes = onTypes;
  }

  /** The last list that was not empty, or null before the first. */
  List<MachineType> current() {
    return types;
  }

  void start() {
    read();
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void read() {
    if (closed) {
      return;
    }
    cloud.types(
        list -> {
          if (list != null && !list.isEmpty()) {
            types = list;
            onTypes.accept(list);
          }
          double wait =
              types == null
                  ? CloudClient.TYPES_RETRY_S
                  : TYPES_EVERY_S * (leading.getAsBoolean() ? 1 : 5);
          timer = loop.schedule(wait, this::read);
        });
  }
}
