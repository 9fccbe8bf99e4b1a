package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;

/**
 * The operators' settings: one record in the state service that every controller follows, read with
 * its revision (revision) and changed by compare-and-swap on it. Pausing claims, cordoning a
 * machine and draining it (graceful eviction) are changes of that record too.
 */
final class SettingsWrites {
  private final Settings platform;
  private final StateClient state;
  private final Cache cache;
  private final OperatorSettings defaults;
  private final int mostBatchTasks;

  SettingsWrites(
      Settings platform,
      StateClient state,
      Cache cache,
      OperatorSettings defaults,
      int mostBatchTasks) {
    this.platform = platform;
    this.state = state;
    this.cache = cache;
    this.defaults = defaults;
    this.mostBatchTasks = mostBatchTasks;
  }

  /** The settings as this controller's copy of the record has them. */
  OperatorSettings current() {
    return OperatorSettings.stored(cache.settings(), defaults, mostBatchTasks);
  }

  private ObjectNode view() {
    ObjectNode n = Json.object().put("mark", cache.settingsRevision());
    n.set("values", current().json());
    n.set("defaults", defaults.json());
    return n;
  }

  /**
   * {@code GET /admin/settings}: revision, values and defaults, after the records are read anew.
   */
  void read(Exchange e) {
    cache.catchUp(
        ok -> {
          if (ok) {
            Replies.json(e, 200, view());
          } else {
            UserApi.unavailable(e, "the state service can't be reached");
          }
        });
  }

  /**
   * {@code PUT /admin/settings}: {@code {"values": {...}, "revision": N}}, the revision optional.
   */
  void change(Exchange e) {
    JsonNode body = Json.read(e.body());
    if (body == null || !body.isObject() || !body.path("values").isObject()) {
      UserApi.refuse(e, 400, "values must be an object with the settings to change");
      return;
    }
    JsonNode revision = body.path("mark");
    if (!revision.isMissingNode() && !revision.isIntegralNumber()) {
      UserApi.refuse(e, 400, "mark must be the integer that reading the settings gave");
      return;
    }
    write(e, body.get("values"), revision.isMissingNode() ? -1 : revision.longValue());
  }

  /** {@code POST /admin/claims/pause} and {@code /resume}, on the record as it is now. */
  void pauseClaims(Exchange e, boolean paused) {
    write(e, Json.object().put("claims_paused", paused), -1);
  }

  /**
   * {@code POST /admin/machines/NAME/ACTION}: {@code cordon} (no new claims), {@code drain}
   * (graceful eviction) or {@code uncordon} (neither); 404 for any other action.
   */
  void cordonOrDrain(Exchange e, String machine, String action) {
    OperatorSettings s = current();
    List<String> cordoned = new ArrayList<>(s.cordoned());
    List<String> drained = new ArrayList<>(s.drained());
    cordoned.remove(machine);
    drained.remove(machine);
    switch (action) {
      case "cordon" -> cordoned.add(machine);
      case "drain" -> drained.add(machine);
      case "uncordon" -> {}
      default -> {
        UserApi.refuse(e, 404, "there are cordon, drain and uncordon");
        return;
      }
    }
    ObjectNode values = Json.object();
    ArrayNode c = values.putArray("cordoned");
    cordoned.forEach(c::add);
    ArrayNode d = values.putArray("drained");
    drained.forEach(d::add);
    write(e, values, cache.settingsRevision());
  }

  /**
   * Changes some fields, on the record as it is now or, if {@code ifRevision} is at least 0, only
   * on the record of that revision (else 409).
   */
  private void write(Exchange e, JsonNode values, long ifRevision) {
    cache.catchUp(
        ok -> {
          if (!ok) {
            UserApi.unavailable(e, "the state service can't be reached");
            return;
          }
          if (ifRevision >= 0 && ifRevision != cache.settingsRevision()) {
            Replies.json(e, 409, view().put("error", "the settings have changed since"));
            return;
          }
          OperatorSettings next;
          try {
            next = current().with(values, defaults, mostBatchTasks);
          } catch (BadRequest b) {
            UserApi.refuse(e, 400, b.getMessage());
            return;
          }
          if (Json.write(next.json()).length > platform.least().valueBytes()) {
            UserApi.refuse(e, 400, "the settings are too large for the state service");
            return;
          }
          Transaction txn =
              new Transaction()
                  .when(StateCodec.SETTINGS, cache.settingsRevision())
                  .put(StateCodec.SETTINGS, next.json());
          state.commit(
              txn,
              Use.SUBMISSION,
              r ->
                  OperatorWrites.answer(
                      e, cache, r, this::view, "somebody else changed the settings meanwhile"));
        });
  }
}
