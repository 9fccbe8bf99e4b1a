package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the cloud's machine types: every {@link #TYPES_RETRY_S} until it has them, then every
 * {@link #LEADER_POLL_INTERVAL_S} on the leader and five times as seldom on a follower.
 */
final class MachineTypePoller {
  /** Seconds between reads of the machine types by the leader: spot prices move slowly. */
  private static final double LEADER_POLL_INTERVAL_S = 60;

  private final Loop loop;
  private final CloudClient cloudClient;
  private final BooleanSupplier isLeader;
  private final Consumer<List<MachineType>> listener;
  private List<MachineType> machineTypes;
  private Loop.Timer timer;
  private boolean closed;

  /**
   * Makes the poller; it reads nothing before {@link #start}.
   *
   * @param leading whether this controller is the leader now
   * @param onTypes hears every list that is not empty
   */
  MachineTypePoller(
      Loop loop,
      CloudClient cloudClient,
      BooleanSupplier isLeader,
      Consumer<List<MachineType>> listener) {
    this.loop = loop;
    this.cloudClient = cloudClient;
    this.isLeader = isLeader;
    this.listener = listener;
  }

  /** The last list that was not empty, or null before the first. */
  List<MachineType> current() {
    return machineTypes;
  }

  void start() {
    poll();
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void poll() {
    if (closed) {
      return;
    }
    cloudClient.types(
        listedTypes -> {
          if (listedTypes != null && !listedTypes.isEmpty()) {
            machineTypes = listedTypes;
            listener.accept(listedTypes);
          }
          double delayS =
              machineTypes == null
                  ? CloudClient.TYPES_RETRY_S
                  : LEADER_POLL_INTERVAL_S * (isLeader.getAsBoolean() ? 1 : 5);
          timer = loop.after(delayS, this::poll);
        });
  }
}
