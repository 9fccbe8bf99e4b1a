package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.state.Cache;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.BadRequestException;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Reads and writes the operators' settings: one record in the store that every controller applies.
 * It is read with its revision (in the protocol: mark) and changed by a compare-and-swap on that.
 * Pausing claims, cordoning a machine and draining it (graceful eviction) are changes of the same
 * record. Runs on the event loop.
 */
final class SettingsWrites {
  private final Settings controllerSettings;
  private final StateClient state;
  private final Cache cache;
  private final OperatorSettings defaults;
  private final int maxBatchTasks;

  /**
   * Creates the handler of settings.
   *
   * @param controllerSettings this controller's settings from the configuration file
   * @param defaults the values of settings that the record does not have
   * @param maxBatchTasks the maximum number of tasks in a task batch
   */
  SettingsWrites(
      Settings controllerSettings,
      StateClient state,
      Cache cache,
      OperatorSettings defaults,
      int maxBatchTasks) {
    this.controllerSettings = controllerSettings;
    this.state = state;
    this.cache = cache;
    this.defaults = defaults;
    this.maxBatchTasks = maxBatchTasks;
  }

  /** The settings according to the cached record. */
  OperatorSettings current() {
    return OperatorSettings.fromStored(cache.settings(), defaults, maxBatchTasks);
  }

  /** {@code GET /admin/settings}: revision, values and defaults, once the cache is up to date. */
  void read(Exchange exchange) {
    FreshRecords.run(cache, exchange, () -> Replies.json(exchange, 200, toJson()));
  }

  /** {@code PUT /admin/settings}; see {@link SettingsChange#decode} for the body. */
  void change(Exchange exchange) {
    try {
      write(exchange, SettingsChange.decode(Json.read(exchange.body())));
    } catch (BadRequestException malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
    }
  }

  /** {@code POST /admin/claims/pause} and {@code /resume}, on the latest record. */
  void pauseClaims(Exchange exchange, boolean paused) {
    ObjectNode values = Json.object().put("claims_paused", paused);
    write(exchange, SettingsChange.ofAnyRevision(values));
  }

  /**
   * {@code POST /admin/machines/NAME/ACTION}: {@code cordon} (no new claims), {@code drain}
   * (graceful eviction) or {@code uncordon} (neither); 404 for any other action.
   */
  void cordonOrDrain(Exchange exchange, String machine, String action) {
    OperatorSettings settings = current();
    List<String> cordoned = new ArrayList<>(settings.cordoned());
    List<String> drained = new ArrayList<>(settings.drained());
    cordoned.remove(machine);
    drained.remove(machine);
    switch (action) {
      case "cordon" -> cordoned.add(machine);
      case "drain" -> drained.add(machine);
      case "uncordon" -> {}
      default -> {
        ApiError.notFound("unknown action; use cordon, drain or uncordon").sendTo(exchange);
        return;
      }
    }
    ObjectNode values = Json.object();
    ArrayNode cordonedNames = values.putArray("cordoned");
    cordoned.forEach(cordonedNames::add);
    ArrayNode drainedNames = values.putArray("drained");
    drained.forEach(drainedNames::add);
    write(exchange, new SettingsChange(values, OptionalLong.of(cache.settingsRevision())));
  }

  private ObjectNode toJson() {
    ObjectNode body = Json.object().put("mark", cache.settingsRevision());
    body.set("values", current().toJson());
    body.set("defaults", defaults.toJson());
    return body;
  }

  /**
   * Writes a change once the cache is up to date; answers 409 if the record has another revision.
   */
  private void write(Exchange exchange, SettingsChange change) {
    FreshRecords.run(cache, exchange, () -> writeOnFreshRecord(exchange, change));
  }

  private void writeOnFreshRecord(Exchange exchange, SettingsChange change) {
    long revision = cache.settingsRevision();
    if (change.ifRevision().orElse(revision) != revision) {
      OperatorWrites.conflict(exchange, toJson(), "the settings have changed since they were read");
      return;
    }
    OperatorSettings next;
    try {
      next = current().with(change.values(), defaults, maxBatchTasks);
    } catch (BadRequestException invalid) {
      ApiError.badRequest(invalid.getMessage()).sendTo(exchange);
      return;
    }
    if (Json.write(next.toJson()).length > controllerSettings.minStoreLimits().valueBytes()) {
      ApiError.badRequest("the settings are too large for the state service").sendTo(exchange);
      return;
    }
    commit(exchange, next, revision);
  }

  private void commit(Exchange exchange, OperatorSettings next, long ifRevision) {
    Transaction txn =
        new Transaction()
            .when(StateCodec.SETTINGS, ifRevision)
            .put(StateCodec.SETTINGS, next.toJson());
    String conflictMessage = "a concurrent change modified the settings first";
    state.commit(
        txn,
        CallPriority.SUBMISSION,
        result -> OperatorWrites.answer(exchange, cache, result, this::toJson, conflictMessage));
  }
}
