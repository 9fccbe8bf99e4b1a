package graderelay.state;

import graderelay.wire.FinalState;
import java.util.LinkedHashMap;
import java.util.Map;

/** LRU cache of the final states of jobs; all others are read from the store on demand. */
final class FinalStateCache {
  private static final int MAX_ENTRIES = 4096;

  private final Map<String, FinalState> states =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FinalState> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** The final state of a job, or null if it isn't cached. */
  FinalState get(String id) {
    return states.get(id);
  }

  void put(String id, FinalState state) {
    states.put(id, state);
  }
}
