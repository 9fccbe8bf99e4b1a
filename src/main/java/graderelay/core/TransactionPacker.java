package graderelay.core;

import graderelay.constants.Constants;
import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Packs changed slices into transactions that the state service takes. Where stored limits are
 * switched on, the claims of a team go with one transaction, since two would have to be conditioned
 * on the same version of its account.
 */
final class TransactionPacker {
  private final int mostChanges;
  private final boolean withAccounts;
  private final BiConsumer<List<SliceChange>, Map<String, Amount>> send;

  /** Teams whose claims went with an earlier transaction. */
  private final Set<String> sentTeams = new HashSet<>();

  private List<SliceChange> changes = new ArrayList<>();
  private Map<String, Amount> claims = new TreeMap<>();
  private int bytes;

  /**
   * Makes one.
   *
   * @param mostChanges puts and deletes that a transaction may have
   * @param send takes the slices of a transaction, and what its claims take by team
   */
  TransactionPacker(
      int mostChanges,
      boolean withAccounts,
      BiConsumer<List<SliceChange>, Map<String, Amount>> send) {
    this.mostChanges = mostChanges;
    this.withAccounts = withAccounts;
    this.send = send;
  }

  /** Takes a slice in, unless claims of its team have gone with an earlier transaction. */
  boolean add(SliceChange change) {
    String team = change.job().spec.team();
    boolean ofAccount = withAccounts && !change.claimed().isEmpty();
    int more = ofAccount && !claims.containsKey(team) ? 2 : 1;
    boolean full = changes.size() + claims.size() + more > mostChanges;
    if (!changes.isEmpty() && (full || bytes + change.bytes() > Constants.TXN_BYTES)) {
      flush();
    }
    if (ofAccount && sentTeams.contains(team)) {
      return false;
    }
    if (ofAccount) {
      claims.merge(team, change.job().amount.times(change.claimed().size()), Amount::plus);
    }
    changes.add(change);
    bytes += change.bytes();
    return true;
  }

  /** Sends what has been taken in. */
  void flush() {
    if (changes.isEmpty()) {
      return;
    }
    sentTeams.addAll(claims.keySet());
    send.accept(changes, claims);
    changes = new ArrayList<>();
    claims = new TreeMap<>();
    bytes = 0;
  }
}
