package graderelay.core;

import graderelay.quota.AdmissionControl;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Packs changed task batches into compare-and-swap transactions that the key-value store takes.
 * Where stored limits are switched on, a transaction with claims is conditioned on the accounts of
 * their teams, and raises those that do not cover the claims; nothing more of such a team can go
 * before that has committed.
 */
final class TransactionPacker {
  /** Bytes of task batch records in one transaction; the protocol allows 64 KiB in all. */
  private static final int TXN_BYTES = 40 * 1024;

  /**
   * Conditions beside those on task batches, jobs, accounts and limits: leader and feature level.
   */
  private static final int OTHER_CONDITIONS = 2;

  /** Of a task batch the batch and its job, of a team its account and its limits. */
  private static final int CONDITIONS_EACH = 2;

  private final int mostChanges;
  private final AdmissionControl admission;
  private final BiConsumer<List<TaskBatchChange>, Set<String>> send;

  /** Teams whose account is raised by an earlier transaction. */
  private final Set<String> raised = new HashSet<>();

  private List<TaskBatchChange> changes = new ArrayList<>();

  /** Teams with claims in the transaction at hand, and those of them whose account it raises. */
  private Set<String> teams = new TreeSet<>();

  private Set<String> raises = new TreeSet<>();
  private int bytes;

  /**
   * Makes one.
   *
   * @param mostChanges puts and deletes that a transaction may have
   * @param send takes the task batches of a transaction, and the teams whose claims it holds
   */
  TransactionPacker(
      int mostChanges,
      AdmissionControl admission,
      BiConsumer<List<TaskBatchChange>, Set<String>> send) {
    this.mostChanges = mostChanges;
    this.admission = admission;
    this.send = send;
  }

  /** Takes a task batch in, unless it holds claims of a team whose account is just being raised. */
  boolean add(TaskBatchChange change) {
    String team = change.job().spec.team();
    boolean claims = admission.enabled() && !change.claimed().isEmpty();
    boolean newTeam = claims && !teams.contains(team);
    boolean raise = newTeam && admission.mustRaise(team);
    if (!changes.isEmpty() && !fits(change, newTeam, raise)) {
      flush();
      newTeam = claims;
    }
    if (claims && raised.contains(team)) {
      return false;
    }
    if (newTeam) {
      teams.add(team);
    }
    if (newTeam && admission.mustRaise(team)) {
      raises.add(team);
    }
    changes.add(change);
    bytes += change.bytes();
    return true;
  }

  private boolean fits(TaskBatchChange change, boolean newTeam, boolean raise) {
    int taskBatchesThen = changes.size() + 1;
    int teamsThen = teams.size() + (newTeam ? 1 : 0);
    int raisesThen = raises.size() + (raise ? 1 : 0);
    int conditions = CONDITIONS_EACH * (taskBatchesThen + teamsThen) + OTHER_CONDITIONS;
    return taskBatchesThen + raisesThen <= mostChanges
        && (teamsThen == 0 || conditions <= mostChanges * SchedulerLimits.MAX_CONDITIONS_PER_CHANGE)
        && bytes + change.bytes() <= TXN_BYTES;
  }

  /** Sends what has been taken in. */
  void flush() {
    if (changes.isEmpty()) {
      return;
    }
    raised.addAll(raises);
    send.accept(changes, teams);
    changes = new ArrayList<>();
    teams = new TreeSet<>();
    raises = new TreeSet<>();
    bytes = 0;
  }
}
