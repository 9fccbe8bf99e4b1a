package graderelay.state;

import graderelay.wire.FinalState;
import java.util.LinkedHashMap;
import java.util.Map;

/** The final states that were used last; older ones are read from the store when asked for. */
final class FinalStateCache {
  /** Final states kept in memory. */
  private static final int CAPACITY = 4096;

  private final Map<String, FinalState> states =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FinalState> eldest) {
          return size() > CAPACITY;
        }
      };

  /** The final state of a job, or null if it isn't here. */
  FinalState get(String id) {
    return states.get(id);
  }

  void put(String id, FinalState state) {
    states.put(id, state);
  }
}
