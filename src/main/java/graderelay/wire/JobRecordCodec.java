package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.JobKind;
import graderelay.core.JobSpec;
import graderelay.core.Priority;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the stored record of a job ({@code g/job/ID}): its specification and whether its user
 * requested to stop it. Optional fields are omitted when not set, so that older versions can read
 * the records of jobs that do not use them.
 */
final class JobRecordCodec {
  static final String CLASS = "class";
  static final String TEAM = "team";
  static final String KIND = "kind";
  static final String PRIORITY = "priority";
  static final String TASKS = "tasks";
  static final String CPUS = "cpus";
  static final String GPUS = "gpus";
  static final String MEMORY_GB = "mem";
  static final String IMAGE = "image";
  static final String IMAGE_GB = "imageGb";
  static final String MACHINE_TYPES = "types";
  static final String ZONE = "zone";
  static final String ONE_ZONE = "oneZone";
  static final String SPREAD = "spread";
  static final String SPOT = "spot";
  static final String ESTIMATE_S = "estimate";
  static final String CHECKPOINT_INTERVAL_S = "checkpoint";
  static final String CHECKPOINT_WRITE_S = "save";
  static final String DEADLINE_S = "deadline";
  static final String SUBMITTED_AT_MS = "at";
  static final String BATCH_CAPACITY = "cap";
  static final String DEPENDENCIES = "needs";
  static final String STOP_REQUESTED = "stop";

  private JobRecordCodec() {}

  /** Encodes a job's record. */
  static ObjectNode encode(JobSpec spec, boolean stopRequested) {
    ObjectNode n = Json.object();
    n.put(CLASS, spec.jobClass()).put(TEAM, spec.team()).put(KIND, spec.kind().name());
    n.put(PRIORITY, spec.priority().name()).put(TASKS, spec.tasks());
    n.put(CPUS, spec.cpus()).put(GPUS, spec.gpus()).put(MEMORY_GB, spec.memGb());
    n.put(IMAGE, spec.image()).put(IMAGE_GB, spec.imageGb());
    if (spec.types() != null) {
      ArrayNode types = n.putArray(MACHINE_TYPES);
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      n.put(ZONE, spec.zone());
    }
    n.put(ONE_ZONE, spec.oneZone()).put(SPREAD, spec.spread()).put(SPOT, spec.spot());
    n.put(ESTIMATE_S, spec.estimateS());
    n.put(CHECKPOINT_INTERVAL_S, spec.checkpointS()).put(CHECKPOINT_WRITE_S, spec.saveS());
    if (spec.deadlineS() != null) {
      n.put(DEADLINE_S, spec.deadlineS());
    }
    n.put(SUBMITTED_AT_MS, spec.submittedMs()).put(BATCH_CAPACITY, spec.batchCapacity());
    if (!spec.dependencies().isEmpty()) {
      spec.dependencies().forEach(n.putArray(DEPENDENCIES)::add);
    }
    if (stopRequested) {
      n.put(STOP_REQUESTED, true);
    }
    return n;
  }

  /** Whether the job's user requested to stop it. */
  static boolean decodeStopRequested(JsonNode n) {
    return n.path(STOP_REQUESTED).asBoolean(false);
  }

  /** Decodes the specification of job {@code id} from its record. */
  static JobSpec decode(String id, JsonNode n) {
    List<String> types = null;
    if (n.has(MACHINE_TYPES)) {
      types = new ArrayList<>();
      for (JsonNode type : n.get(MACHINE_TYPES)) {
        types.add(type.asText());
      }
    }
    return new JobSpec(
        id,
        n.path(CLASS).asText().intern(),
        n.path(TEAM).asText().intern(),
        JobKind.valueOf(n.path(KIND).asText()),
        Priority.valueOf(n.path(PRIORITY).asText()),
        n.path(TASKS).asInt(),
        n.path(CPUS).asDouble(),
        n.path(GPUS).asDouble(),
        n.path(MEMORY_GB).asDouble(),
        n.path(IMAGE).asText().intern(),
        n.path(IMAGE_GB).asDouble(),
        types,
        n.has(ZONE) ? n.get(ZONE).asText() : null,
        n.path(ONE_ZONE).asBoolean(),
        n.path(SPREAD).asBoolean(),
        n.path(SPOT).asBoolean(),
        n.path(ESTIMATE_S).asDouble(),
        n.path(CHECKPOINT_INTERVAL_S).asDouble(),
        n.path(CHECKPOINT_WRITE_S).asDouble(),
        n.has(DEADLINE_S) ? n.get(DEADLINE_S).asDouble() : null,
        n.path(SUBMITTED_AT_MS).asLong(),
        Math.max(1, n.path(BATCH_CAPACITY).asInt(1)),
        decodeDependencies(n.path(DEPENDENCIES)));
  }

  private static List<String> decodeDependencies(JsonNode n) {
    if (n.isEmpty()) {
      return List.of();
    }
    List<String> ids = new ArrayList<>();
    n.forEach(id -> ids.add(id.asText()));
    return List.copyOf(ids);
  }
}
