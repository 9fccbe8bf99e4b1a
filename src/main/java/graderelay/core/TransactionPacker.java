package graderelay.core;

import graderelay.quota.AdmissionControl;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Packs changed task batches into compare-and-swap transactions within the limits of the key-value
 * store. If stored limits are enabled, a transaction with claims is conditioned on the accounts of
 * their teams and raises accounts that do not cover the claims. Further claims of such a team have
 * to wait until that transaction has committed.
 */
final class TransactionPacker {
  /** Limit on the task batch records in one transaction; the protocol allows 64 KiB in total. */
  private static final int MAX_RECORD_BYTES = 40 * 1024;

  /**
   * Conditions of each transaction in addition to those on task batches, jobs, accounts and limits:
   * the leader record and the feature level.
   */
  private static final int FIXED_CONDITIONS = 2;

  /** Per task batch: the batch and its job. Per team: its account and its limits. */
  private static final int CONDITIONS_PER_BATCH_OR_TEAM = 2;

  private final int maxChanges;
  private final AdmissionControl admission;
  private final BiConsumer<List<TaskBatchChange>, Set<String>> sendTransaction;

  /** Teams whose accounts are raised by transactions sent before. */
  private final Set<String> teamsRaisedBefore = new HashSet<>();

  private List<TaskBatchChange> changes = new ArrayList<>();

  /** Teams with claims in the current transaction. */
  private Set<String> teams = new TreeSet<>();

  /** Those of the teams whose accounts the current transaction raises. */
  private Set<String> teamsToRaise = new TreeSet<>();

  private int recordBytes;

  /**
   * Creates a packer.
   *
   * @param maxChanges maximum number of puts and deletes in a transaction
   * @param sendTransaction sends a transaction, given its task batches and the teams whose claims
   *     it contains
   */
  TransactionPacker(
      int maxChanges,
      AdmissionControl admission,
      BiConsumer<List<TaskBatchChange>, Set<String>> sendTransaction) {
    this.maxChanges = maxChanges;
    this.admission = admission;
    this.sendTransaction = sendTransaction;
  }

  /** Adds a change; returns false if a transaction sent before raises the account of its team. */
  boolean add(TaskBatchChange change) {
    String team = change.job().spec.team();
    boolean addsClaims = admission.isEnabled() && !change.claimed().isEmpty();
    boolean isNewTeam = addsClaims && !teams.contains(team);
    boolean raisesAccount = isNewTeam && admission.needsRaise(team);
    if (!changes.isEmpty() && !fits(change, isNewTeam, raisesAccount)) {
      flush();
      isNewTeam = addsClaims;
    }
    if (addsClaims && teamsRaisedBefore.contains(team)) {
      return false;
    }
    if (isNewTeam) {
      teams.add(team);
    }
    if (isNewTeam && admission.needsRaise(team)) {
      teamsToRaise.add(team);
    }
    changes.add(change);
    recordBytes += change.maxBytes();
    return true;
  }

  private boolean fits(TaskBatchChange change, boolean isNewTeam, boolean raisesAccount) {
    int taskBatchCount = changes.size() + 1;
    int teamCount = teams.size() + (isNewTeam ? 1 : 0);
    int raiseCount = teamsToRaise.size() + (raisesAccount ? 1 : 0);
    int conditionCount =
        CONDITIONS_PER_BATCH_OR_TEAM * (taskBatchCount + teamCount) + FIXED_CONDITIONS;
    return taskBatchCount + raiseCount <= maxChanges
        && (teamCount == 0
            || conditionCount <= maxChanges * SchedulerLimits.MAX_CONDITIONS_PER_CHANGE)
        && recordBytes + change.maxBytes() <= MAX_RECORD_BYTES;
  }

  /** Sends the current transaction, if it has changes. */
  void flush() {
    if (changes.isEmpty()) {
      return;
    }
    teamsRaisedBefore.addAll(teamsToRaise);
    sendTransaction.accept(changes, teams);
    changes = new ArrayList<>();
    teams = new TreeSet<>();
    teamsToRaise = new TreeSet<>();
    recordBytes = 0;
  }
}
