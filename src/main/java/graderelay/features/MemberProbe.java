package graderelay.features;

import java.util.function.Consumer;

/** Asks another controller which process it is. */
public interface MemberProbe {
  /** Calls back with the answering process's incarnation, or with null if there is no answer. */
  void fetchIncarnation(String member, Consumer<String> done);
}
