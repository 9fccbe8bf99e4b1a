package graderelay.core;

import graderelay.quota.Amount;

/** Amounts of a machine's resources. */
public record Resources(double cpus, double gpus, double memGb) {
  /** Decimal amounts are summed up in floating point; this much of a unit is rounding, not need. */
  static final double SLACK = 1e-6;

  public static final Resources NONE = new Resources(0, 0, 0);

  static Resources of(JobSpec s) {
    return new Resources(s.cpus(), s.gpus(), s.memGb());
  }

  static Resources of(MachineType t) {
    return new Resources(t.cpus(), t.gpus(), t.memGb());
  }

  /** The same in exact sums, as stored limits count it. */
  Amount amount() {
    return Amount.needed(cpus, gpus);
  }

  Resources plus(Resources o) {
    return new Resources(cpus + o.cpus, gpus + o.gpus, memGb + o.memGb);
  }

  Resources minus(Resources o) {
    return new Resources(cpus - o.cpus, gpus - o.gpus, memGb - o.memGb);
  }

  boolean holds(Resources o) {
    return o.cpus <= cpus + SLACK && o.gpus <= gpus + SLACK && o.memGb <= memGb + SLACK;
  }

  /** How many of these fit at once. */
  int times(Resources o) {
    double n = 1e9;
    if (o.cpus > 0) {
      n = Math.min(n, (cpus + SLACK) / o.cpus);
    }
    if (o.gpus > 0) {
      n = Math.min(n, (gpus + SLACK) / o.gpus);
    }
    if (o.memGb > 0) {
      n = Math.min(n, (memGb + SLACK) / o.memGb);
    }
    return (int) Math.max(0, Math.floor(n));
  }
}
