package graderelay.features;

import java.util.function.Consumer;

/** Queries other controllers for the incarnation of their process. */
public interface MemberProbe {
  /** Calls back with the incarnation of the responding process, or null without a response. */
  void fetchIncarnation(String member, Consumer<String> done);
}
