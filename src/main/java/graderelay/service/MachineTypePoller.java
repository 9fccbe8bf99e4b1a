package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Polls the cloud's machine types: every {@link CloudClient#TYPES_RETRY_S} until the first list
 * arrives, then every {@link #LEADER_POLL_INTERVAL_S} on the leader and at five times this interval
 * on a follower.
 */
final class MachineTypePoller {
  /** Seconds between polls of the machine types by the leader: spot prices change slowly. */
  private static final double LEADER_POLL_INTERVAL_S = 60;

  private final Loop loop;
  private final CloudClient cloudClient;
  private final BooleanSupplier isLeader;
  private final Consumer<List<MachineType>> listener;
  private List<MachineType> machineTypes;
  private Loop.Timer timer;
  private boolean closed;

  /**
   * Creates the poller; it is idle until {@link #start}.
   *
   * @param isLeader whether this controller is the leader
   * @param listener called with every list that is not empty
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

  /** The last list that was not empty, or null if there is none yet. */
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
