package graderelay.constants;

/**
 * Every constant of the program, with its unit and the reason for its value. What a deployment
 * prescribes (rates, leases, sizes) is not here: it comes from the settings file or the cloud.
 */
public final class Constants {
  private Constants() {}

  // ---------------------------------------------------------------- placement

  /** Tasks. Slice cap of the design: a record of this many fits a value with room to spare. */
  public static final int SLICE_CAP = 500;

  /** Bytes that one task takes in a slice record at most, machine name included. */
  public static final int SLICE_BYTES_PER_TASK = 32;

  /** Bytes of slice records in one transaction; the protocol allows 64 KiB in all. */
  public static final int TXN_BYTES = 40 * 1024;

  /** Machines. Sample size of the design, on the ordinary path. */
  public static final int SAMPLE_SIZE = 3;

  /** Failures of one job in a row before it backs off; the design's attempt cap, see design.md. */
  public static final int ATTEMPT_CAP = 3;

  /** Seconds between rounds at least, so that a burst of events is placed together. */
  public static final double ROUND_EVERY_S = 0.01;

  /** Seconds for which a job that found no room waits while no room was given back. */
  public static final double NO_ROOM_PAUSE_S = 0.25;

  /**
   * Seconds after its submission from which a job that has never begun goes before all others of
   * its priority. Users want the largest to begin within four minutes; this leaves time to make
   * room and to rent.
   */
  public static final double WAITING_WINS_S = 75;

  /**
   * Seconds after its submission from which the first task of a job that has never begun takes the
   * next room whatever its priority, for the same reason.
   */
  public static final double MUST_BEGIN_S = 150;

  /** Seconds' worth of changes that may be under way to the state service at once. */
  public static final double CHANGES_OUT_S = 0.4;

  /** Changes that may be under way in any case: a round trip must not leave the rate unused. */
  public static final int LEAST_CHANGES_OUT = 4;

  /** Seconds between rounds at most, for what only time changes. */
  public static final double ROUND_AT_LEAST_EVERY_S = 0.5;

  /** Report intervals without a report after which a machine is no target for new tasks. */
  public static final double SILENT_REPORTS = 2.2;

  /** Times its class's longest wanted wait after which a job is no longer passed by others. */
  public static final double PASSED_STEPS = 2;

  /**
   * Seconds from a stop to the start in its place, without the time to save: the worker's report,
   * the change that ends the claim, the next claim, its launch. Where saving doesn't leave as much
   * of a wanted wait, the work is stopped at once; what has lost least is chosen.
   */
  public static final double HURRY_S = 2;

  /** Seconds of lost work that one image fetch is counted as when choosing whom to stop. */
  public static final double COLD_COST_S = 20;

  /**
   * Seconds of lost work that each stop counts as, whatever it has done: the task's end, its next
   * claim and its next end are changes of the state service, of which there are some tens a second.
   */
  public static final double STOP_COST_S = 4;

  /** Share of the fleet that work of lower priority may have without being stopped for arrays. */
  public static final double SPARED_SHARE = 0.1;

  /** Times its expected run time before its deadline from which a job stops others' work. */
  public static final double LEISURE_RUNS = 1.5;

  /** Seconds between repeated direct kills of one task; reports' responses repeat them anyway. */
  public static final double KILL_AGAIN_S = 3;

  /** Seconds on top of the time a task needs to save, for the way to the worker. */
  public static final double SAVE_SLACK_S = 2;

  // ---------------------------------------------------------------- proof and fences

  /** Seconds beyond a worker's lease: timers fire late on a starved process. */
  public static final double LEASE_MARGIN_S = 0.5;

  /** Share by which two steady clocks may differ: 0.05% on either side. */
  public static final double DRIFT = 0.001;

  /** Seconds that a launch of unknown fate may block a stop before the term is raised. */
  public static final double DOUBT_S = 5;

  /** Seconds between raises of the term: workers take a higher one at most twice a lease. */
  public static final double RAISE_PAUSE_S = 8;

  /**
   * Orders sent straight to workers in a second, for each core that a controller has: each may cost
   * a connection, about a millisecond, so this many take about a fifth of what it has.
   */
  public static final double DIRECT_PER_CORE_S = 200;

  /** Share of those kept from starts of arrays, whose machines' next reports fetch them as well. */
  public static final double DIRECT_FOR_SERVICES = 0.25;

  /** Share of those kept from questions to machines without services. */
  public static final double DIRECT_FOR_ORDERS = 0.5;

  /** Report intervals without a report after which a machine is asked straight. */
  public static final double POKE_REPORTS = 1.6;

  /** Seconds between such questions to one machine. */
  public static final double POKE_EVERY_S = 1.2;

  /**
   * Report intervals without any sign after which a machine with services is given back. A worker
   * whose controller hangs needs one timeout of 4 s and a pause of 1 s to find another.
   */
  public static final double DEAD_REPORTS = 3.2;

  /** Questions in a row without an answer that this takes as well. */
  public static final int DEAD_POKES = 2;

  /**
   * Share of the ordinary machines that may be silent at most: more is a trouble of the network.
   */
  public static final double ALONE_SHARE = 0.15;

  /** Seconds for which machines given back in this way count as silent. */
  public static final double REPLACE_MEMORY_S = 30;

  // ---------------------------------------------------------------- failures of tasks

  /** Errors in a row on one machine, of several jobs, after which it is replaced. */
  public static final int BAD_STREAK = 3;

  /** Seconds without new tasks after an error on a machine; doubles with each in a row. */
  public static final double QUARANTINE_S = 5;

  /** Seconds; longest quarantine, so that a machine that has recovered is used again. */
  public static final double LONGEST_QUARANTINE_S = 60;

  /** Seconds of a job's first pause after failing on several machines; doubles. */
  public static final double JOB_BACKOFF_S = 2;

  /**
   * Seconds that a task has to run to speak for its job and its machine: mistakes and sick machines
   * mostly end it at its start.
   */
  public static final double GOOD_RUN_S = 5;

  /**
   * Times the attempt cap of machines on which tasks of a job fail, although others of it succeed,
   * after which machines are not blamed for it any more.
   */
  public static final int PROVEN_JOB_MACHINES = 4;

  /**
   * Tasks on one machine: its report names all of them, with as many more that have exited, at some
   * 75 bytes each, and a report of more than 64 KiB can't be taken from it any more.
   */
  public static final int MOST_ON_MACHINE = 400;

  /** Seconds; longest pause of such a job: an accepted job must run, so it is tried on. */
  public static final double LONGEST_JOB_BACKOFF_S = 30;

  // ---------------------------------------------------------------- fleet

  /** Seconds between plans of the fleet; a machine takes many times this to boot. */
  public static final double PLAN_EVERY_S = 1.0;

  /** Seconds that a machine may be idle: well under the minute that is charged at least. */
  public static final double IDLE_S = 30;

  /** Times the spare room that arrivals of the last minutes suggest. */
  public static final double SPARE_FACTOR = 1.0;

  /** Seconds between records of the images on machines, each a hint for the next owner. */
  public static final double KEEP_IMAGES_EVERY_S = 15;

  /**
   * Records that share the images of each thousand machines: some 30 bytes a machine, so that they
   * fit values of 2 KiB.
   */
  public static final int IMAGE_PARTS_PER_THOUSAND = 24;

  /**
   * Such records written at one time, each a change of the state service: a bound on a batch. The
   * others follow in turn at the next times.
   */
  public static final int IMAGE_PARTS_AT_ONCE = 24;

  /** Images named in one of those records: a machine's are bits of one number. */
  public static final int KEPT_IMAGES = 60;

  /** Seconds between records of the recent demand, for the next owner. */
  public static final double KEEP_DEMAND_EVERY_S = 10;

  /**
   * Arrivals of one class kept in that record for each thousand machines, at some 20 bytes each.
   * The oldest are left out where they don't fit a value.
   */
  public static final int KEPT_ARRIVALS_PER_THOUSAND = 24;

  /** Classes kept in that record. */
  public static final int KEPT_CLASSES = 12;

  /** Seconds after a takeover in which no machine is called idle: demand is not known yet. */
  public static final double SETTLE_S = 30;

  /** Share of the weight that older run times keep with each new one. */
  public static final double RATIO_MEMORY = 0.98;

  /** Seconds that a task without an estimate is taken to run. */
  public static final double UNKNOWN_RUN_S = 60;

  /** Seconds before a deadline at which work should be done: fetches, reports and the poll. */
  public static final double DEADLINE_MARGIN_S = 8;

  /** Times its own time to the deadline that a late job steps back for others at most. */
  public static final double OVERDUE_SPANS = 2;

  /** Share of the rented CPUs that tasks of uneven size can fill. */
  public static final double PACKING = 0.85;

  /**
   * Times the slowest nominal boot beyond which a wanted wait leaves time to rent for it when it
   * presses: some machines take several times as long.
   */
  public static final double PATIENT_BOOTS = 3;

  /**
   * Times the work that patient jobs of a class with a wanted wait are counted as: bursts come
   * while machines boot, and a late start costs more than a machine that stands idle for a minute.
   */
  public static final double HURRIED_WORK = 1.5;

  /** Seconds in which running work is counted at most when nothing presses. */
  public static final double PATIENT_S = 60;

  /** Seconds that a machine is charged at least; before that there is nothing to save. */
  public static final double CHARGED_AT_LEAST_S = 60;

  /**
   * Share of the ordinary machines that may be closed in one plan, beside one: of hundreds, one a
   * second would stand idle for minutes after a peak.
   */
  public static final double CLOSE_SHARE = 0.02;

  /** Machines looked at in one plan as candidates for closing, for each thousand machines. */
  public static final int CLOSE_TRIES_PER_THOUSAND = 8;

  /** Share of a machine's own size that must be left over when it is closed: no to and fro. */
  public static final double CLOSE_SLACK = 0.5;

  /** Jobs of the largest size seen that warm machines must have room for when one is closed. */
  public static final int WARM_JOBS = 2;

  /** Share of a machine up to which services are moved off it. */
  public static final double MOVE_SHARE = 0.5;

  /** Seconds between moves of replicas, each of which is away for a moment. */
  public static final double MOVE_EVERY_S = 2;

  /** Seconds; first pause after the cloud called a pool empty. */
  public static final double EMPTY_POOL_PAUSE_S = 6;

  /** Seconds; longest such pause: capacity comes back without a sign. */
  public static final double LONGEST_EMPTY_POOL_PAUSE_S = 24;

  /** Seconds over which arrivals are averaged at the least: a few say little of the next ones. */
  public static final double LEAST_SPAN_S = 60;

  /** Seconds for which arrivals are remembered to size the spare room. */
  public static final double ARRIVAL_MEMORY_S = 300;

  /** Times the nominal boot time, and seconds on top, in which a machine usually is up. */
  public static final double USUAL_BOOTS = 1.8;

  public static final double USUAL_BOOT_S = 5;

  /** Seconds for which the time that a boot took is remembered: troubles last a few minutes. */
  public static final double BOOT_MEMORY_S = 180;

  /** Times the slowest boot of late that a machine may take and still be waited for. */
  public static final double SLOWER_BOOT = 1.25;

  /** Overdue machines of a type, with none that came up meanwhile, that show a trouble of all. */
  public static final int STALLED_BOOTS = 3;

  /** Times longer that machines of such a type are kept: others would take as long. */
  public static final double STALLED_TIMES = 4;

  /** Times its price that such a type counts as when another could be rented instead. */
  public static final double STALLED_PRICE = 3;

  /** Times the nominal boot time after which a machine is given up; some take several times. */
  public static final double BOOT_FACTOR = 3;

  /** Seconds on top of that. */
  public static final double BOOT_GRACE_S = 15;

  /** Seconds that a silent machine is kept once its lease has run out: short cuts heal. */
  public static final double SILENT_KEEP_S = 30;

  /** Machines in one rental request, a batch; a limit of the protocol. */
  public static final int MOST_HIRED = 50;

  /** Machines in one deletion request, a batch; a limit of the protocol. */
  public static final int MOST_RETURNED = 100;

  /**
   * Deleted machines remembered: late lists and reports still name them for minutes, in which a
   * fleet of four thousand may have been replaced several times. Some 100 bytes each.
   */
  public static final int MOST_DROPPED = 20_000;

  /** Seconds before a deletion without an answer is sent again. */
  public static final double RETURN_RETRY_S = 4;

  /** Images remembered of a machine; only a guide for placement. */
  public static final int MOST_IMAGES = 64;

  /** Seconds between lists of the machines at the least; the list itself lags by several. */
  public static final double LIST_EVERY_S = 4;

  /**
   * Share of the cloud's rate that lists may take: the pages of a fleet of thousands would leave no
   * calls for rentals and deletions, which need the rest.
   */
  public static final double LIST_SHARE = 0.4;

  /** Seconds between reads of the machine types by the owner: spot prices move slowly. */
  public static final double TYPES_EVERY_S = 60;

  /** Seconds before a failed read of the types is repeated; without them nothing is accepted. */
  public static final double TYPES_RETRY_S = 1;

  // ---------------------------------------------------------------- dependencies

  /** Bytes of a value that are left free, since its size may be counted in another way. */
  public static final int VALUE_MARGIN_BYTES = 48;

  /**
   * Seconds between the end of a job and the start of one that needs it: report, changes, image.
   */
  public static final double STAGE_S = 4;

  /** Seconds between questions for the final record of a needed job that nobody has seen end. */
  public static final double FIND_ENDS_EVERY_S = 2;

  /** Seconds by which a node's copy may lag when it is taken for what was told to users. */
  public static final double FRESH_S = 3;

  /** Run times and seconds left before it is needed when a job goes by the priority of others. */
  public static final double PRESSING_RUNS = 2;

  public static final double PRESSING_S = 45;

  /** Share of its class's wanted wait after which a needed job goes by the priority of others. */
  public static final double PRESSING_WAIT = 0.4;

  /** Final records asked for at once, a batch. */
  public static final int MOST_FOUND = 200;

  /** Jobs that a submission may name; a request has at most 64 KiB. */
  public static final int MOST_NEEDS = 2000;

  /** Seconds for which nothing is claimed in a record that is as large as is allowed. */
  public static final double FULL_SLICE_S = 1;

  // ---------------------------------------------------------------- ownership

  /** Share of a worker's lease that the owner's hold lasts: takeovers must beat the lease. */
  public static final double HOLD_OF_LEASE = 0.3;

  /**
   * Seconds that the hold lasts at most: four renewals, each with time for a slow answer. With a
   * longer one nobody owns the fleet for longer after each end of an owner.
   */
  public static final double MOST_HOLD_S = 3.6;

  /** Share of the hold between renewals, so that two may be lost. */
  public static final double RENEW_OF_HOLD = 0.25;

  /** Seconds before the hold's own end at which the owner counts it as over. */
  public static final double HOLD_MARGIN_S = 0.25;

  /** Seconds between looks whether the records are read, for a node that has won the term. */
  public static final double TAKE_UP_RETRY_S = 0.02;

  /** Seconds of pause before a node tries again to take over, with as much again at random. */
  public static final double TAKEOVER_RETRY_S = 0.15;

  /**
   * Seconds for which a peer promises not to take over, while the owner can't renew its hold. A
   * restarted node waits as long, since it may have forgotten a promise.
   */
  public static final double PROMISE_S = 0.6;

  /** Seconds between requests for promises. */
  public static final double PROMISE_EVERY_S = 0.2;

  /**
   * Seconds for which a peer promises not to take over while leases are kept alive without an
   * owner. A restarted node waits as long before it takes over, so it is short.
   */
  public static final double KEEP_S = 0.6;

  /** Seconds between requests for such promises. */
  public static final double KEEP_EVERY_S = 0.2;

  /**
   * Seconds for which an owner counts on a silent peer's bar after it last read the records, and
   * for which that peer waits on its way out of it. Longer than outages of the state service that
   * were met, and no longer than users can wait should all others be gone.
   */
  public static final double BAR_S = 30;

  /** Seconds of silence after which a peer is barred: a few questions, and less than a restart. */
  public static final double BAR_AFTER_S = 3.2;

  /** Seconds between an owner's questions to its peers. */
  public static final double LOOK_AFTER_EVERY_S = 1;

  /** Seconds between looks of a barred node whether it may take over. */
  public static final double BAR_LOOK_S = 0.5;

  /** Seconds after the end of a promise at which a node tries to take over. */
  public static final double AFTER_BAR_S = 0.005;

  /** Seconds before the end of a promise at which it counts as over. */
  public static final double KEEP_MARGIN_S = 0.05;

  /**
   * Seconds of a cancellation's time that are left when the last lease that was renewed without
   * knowing of it is over: for answers under way and for a worker that is slow to look.
   */
  public static final double CANCEL_MARGIN_S = 1;

  /**
   * Seconds by which what is known of cancellations may always be old: a slow answer of the state
   * service costs no lease, also where leases are about as long as cancellations may take.
   */
  public static final double LEAST_RENEW_S = 4;

  /** Share of the time that is left to spare for processes that have just begun. */
  public static final double BEGINNERS_SHARE = 0.4;

  /** Seconds below which a process that has just begun had better wait for the records. */
  public static final double LEAST_BEGINNERS_S = 0.5;

  /** Seconds by which what is known of cancellations is old when the peers are asked. */
  public static final double ASK_CANCELLATIONS_S = 2;

  /**
   * Cancelled jobs, not over yet, in a word to a peer, at some 12 bytes each; beyond that it says
   * nothing. Their number depends on users and on how fast records are written, not on machines.
   */
  public static final int MOST_CANCELLATIONS = 8000;

  /** Seconds of failing calls after which a node takes the state service for away. */
  public static final double KEEP_AFTER_S = 0.5;

  /** Seconds since a worker last asked for which the promises are kept up. */
  public static final double KEEP_WANTED_S = 10;

  /** Seconds of failing renewals after which a peer that is served better gets the fleet. */
  public static final double HANDOVER_S = 0.8;

  /** Seconds since its last answer for which a node says that it reaches the state service. */
  public static final double REACHES_S = 1.3;

  /**
   * Workers' leases for which a zone's deputy may keep them alive after the owner's last word. Cuts
   * of a zone last about two leases; what really died there starts elsewhere that much later.
   */
  public static final double DEPUTY_LEASES = 2;

  /**
   * Seconds left of a cancellation's time when the last lease that a deputy kept is over: a job may
   * be cancelled outside just after the cut, of which the deputy knows nothing.
   */
  public static final double DEPUTY_CANCEL_MARGIN_S = 2;

  /** Seconds between a deputy's questions to the owner. */
  public static final double DEPUTY_ASKS_S = 1;

  /**
   * Seconds since the owner's last answer before which a deputy never answers by itself: several of
   * its questions, and less than a worker needs to find it.
   */
  public static final double DEPUTY_ALONE_S = 4;

  /** Seconds without an answer after which a deputy gives its grant back through the records. */
  public static final double DEPUTY_GIVES_BACK_S = 2;

  // ---------------------------------------------------------------- feature levels

  /**
   * Seconds for which all controllers must have been up as they are before the feature level rises:
   * long enough for an upgrade that fails at its start to be noticed and rolled back.
   */
  public static final double FEATURE_SOAK_S = 30;

  /** Longest soak time that may be set, in seconds. */
  public static final double MOST_SOAK_S = 86_400;

  /**
   * Seconds for which a team's account may be above its committed claims before it is lowered by a
   * change of its own. Claims lower it on their way, so this is for teams that only end work.
   */
  public static final double ACCOUNT_RELEASE_S = 5;

  /** Seconds between comparisons of the accounts with the committed claims. */
  public static final double ACCOUNT_CHECK_EVERY_S = 1;

  /** Seconds between looks at feature levels. */
  public static final double FEATURE_LOOK_EVERY_S = 1;

  /** Seconds without an answer after which a controller's soak time begins anew. */
  public static final double MEMBER_SILENT_S = 3.2;

  /** The same for records in their compact form, at some 18 bytes a machine. */
  public static final int COMPACT_IMAGE_PARTS_PER_THOUSAND = 12;

  /** Times a value's size that a plain hint may have before its compact form is tried. */
  public static final int HINT_RATIO = 3;

  /** What of a plain hint is kept if its compact form does not fit a value. */
  public static final double HINT_KEPT = 0.75;

  /** Bytes of a compact hint once it is decompressed; more is a mistake. */
  public static final int MOST_HINT_BYTES = 1024 * 1024;

  /**
   * Seconds between two looks of a lease delegate after which it takes itself for suspended
   * meanwhile: what it was granted counts no more until it has heard the leader again.
   */
  public static final double SUSPENDED_S = 3;

  // ---------------------------------------------------------------- state service

  /** Share of the deployment's request rate that the owner gives itself. */
  public static final double OWNER_REQUESTS = 0.42;

  /** Share of the request rate that the others have together; the rest is for renewals. */
  public static final double OTHERS_REQUESTS = 0.5;

  /** Share of the deployment's change rate that the owner gives itself. */
  public static final double OWNER_CHANGES = 0.7;

  /** Share of the change rate that the others have together. */
  public static final double OTHERS_CHANGES = 0.3;

  /**
   * Requests in whose time at a node's own rate one catch-up read and one watch may go: a quarter
   * each, so that half is left for what users ask and the owner writes.
   */
  public static final double READ_EVERY_REQUESTS = 4;

  /** Seconds for which a peer may use what the owner has lent it: a few of its messages. */
  public static final double LENT_S = 3.5;

  /** Times what a peer wrote in the last second that it may write: users come in bursts. */
  public static final double SHARE_ROOM = 2;

  /** Share of the deployment's changes that one peer may have at most. */
  public static final double MOST_SHARE = 0.25;

  /** Share of what a peer could write that it keeps for the next second when it needs less. */
  public static final double SHARE_KEPT = 0.85;

  /** Share of its own changes that an owner lends at most: claims and ends must go on. */
  public static final double MOST_LENT = 0.35;

  /** Seconds to wait for an ordinary answer: usually 10 ms, at times a few hundred. */
  public static final double STATE_TIMEOUT_S = 1.2;

  /** Milliseconds that a watch is asked to wait; short, so that its end shows a healthy path. */
  public static final int WATCH_BLOCK_MS = 1000;

  /** Seconds between catch-up reads; all reads in between share the next one. */
  public static final double CATCH_UP_EVERY_S = 0.04;

  /** Seconds between watches at the least, so that a burst of changes costs few requests. */
  public static final double WATCH_EVERY_S = 0.02;

  /** Seconds before a failed call to the state service is repeated. */
  public static final double STATE_RETRY_S = 0.2;

  /** Items in one page of a list, a batch: each may be near the value limit of some 16 KiB. */
  public static final int PAGE_ITEMS = 200;

  /**
   * Requests that may wait for tokens; beyond that the least urgent is refused. A bound on a queue:
   * claims and ends of a fleet of any size go many to a request.
   */
  public static final int MOST_WAITING_CALLS = 512;

  /**
   * Share of what more urgent calls take that a less urgent use gets while it waits: a quarter of
   * an owner's changes is what a swarm of submissions needs of it at the users' rates.
   */
  public static final double PASSED_SHARE = 0.3;

  /** Conditions that a transaction may have for each of its changes; a limit of the protocol. */
  public static final int CONDITIONS_PER_OP = 4;

  /** Final states kept in memory; older ones are read from the state service. */
  public static final int FINAL_STATES = 4096;

  // ---------------------------------------------------------------- users

  /** Seconds after which a request that could not be decided is answered with 503. */
  public static final double USER_DEADLINE_S = 3.5;

  /** Seconds for a poll; its user waits for two. */
  public static final double POLL_DEADLINE_S = 1.7;

  /**
   * Seconds after which a request that the state service has not answered is asked of a peer too:
   * usual answers take 10 ms. Both carry the same conditions, so the first answer is as good.
   */
  public static final double HEDGE_S = 0.08;

  /** The same for a poll, which waits for a read that many share anyway; its user waits for 2 s. */
  public static final double POLL_HEDGE_S = 0.7;

  /**
   * Requests that are with peers at once: enough for a node that the state service refuses alone,
   * and no more, since in a storm of questions each would be asked two or three times.
   */
  public static final int MOST_HEDGES_OUT = 64;

  /**
   * Seconds for which a submission that the owner has handed on may stay with a peer before the
   * owner takes it up after all: a few usual answers of the state service.
   */
  public static final double HANDED_ON_S = 0.15;

  /** Seconds for which no submission is handed on to a peer that gave no answer to one. */
  public static final double PASS_OVER_S = 5;

  /** Seconds that a submission which the owner has handed on may have to wait for changes here. */
  public static final double HANDED_ON_WAIT_S = 0.1;

  /** Seconds beyond its own deadline that a request may have for an answer of a peer. */
  public static final double HEDGED_S = 0.15;

  /** Peers that one request is passed to at most. */
  public static final int MOST_HEDGES = 2;

  /** Seconds within which a worker that comes back is taken to be unable to reach the owner. */
  public static final double RELAY_MEMORY_S = 12;

  /**
   * Workers remembered as pointed to the owner, some 150 bytes each: all of a fleet of four
   * thousand, with as many again that were replaced a moment ago.
   */
  public static final int MOST_POINTED = 8192;

  /** Seconds after which a worker whose reports are passed on is pointed to the owner again. */
  public static final double RELAY_FOR_S = 25;

  /**
   * Seconds that a submission may have to wait for this node's changes by their rate: one that
   * would wait longer is refused at once, and its user comes back instead of waiting in vain.
   */
  public static final double LONGEST_SUBMISSION_WAIT_S = 2;

  /** Seconds that a user is told to wait before the next try. */
  public static final int RETRY_AFTER_S = 1;

  /** Seconds without an answer of the state service after which this node is not ready. */
  public static final double READY_S = 2.5;

  /** Submissions under way at once, a bound on a queue; beyond that the newest is refused. */
  public static final int MOST_SUBMISSIONS = 400;

  /** Tasks of one job; a limit of the protocol. */
  public static final int MOST_TASKS = 100_000;

  /** Characters of a name in a submission, so that a job's record stays small. */
  public static final int MOST_NAME = 128;

  /** Machine types that a submission may name, for the same reason. */
  public static final int MOST_TYPES = 32;

  /** Largest amount of a resource or of seconds in a submission: more is a mistake. */
  public static final double MOST_AMOUNT = 1e9;

  // ---------------------------------------------------------------- operators

  /** Largest sample size: beyond that a round is no longer a sample. */
  public static final int MOST_SAMPLE = 64;

  /** Largest attempt cap. */
  public static final int MOST_ATTEMPT_CAP = 100;

  /** Seconds; longest idle time that may be set. */
  public static final double MOST_IDLE_S = 3600;

  /** Largest factor for spare room that may be set. */
  public static final double MOST_SPARE = 10;

  /**
   * Machine names in one list of the settings: a whole fleet's. How many there are really room for
   * depends on the state service's values, which the settings' record has to fit.
   */
  public static final int MOST_CORDONED = 4096;

  /** Characters of a machine's name in those lists. */
  public static final int MOST_MACHINE_NAME = 64;

  /**
   * Entries in one answer of the administration API, a batch: some 150 bytes each, on a line of 64
   * KiB. Tools ask for page after page.
   */
  public static final int MOST_LISTED = 250;

  /** Seconds between looks at how late the event loop is. */
  public static final double DELAY_PROBE_S = 1;

  /** Measured times kept until somebody reads the metrics for the first time. */
  public static final int MOST_UNREAD_SPANS = 256;

  // ---------------------------------------------------------------- network

  /** Bytes of a request's body; a limit of the protocol. */
  public static final int MOST_BODY = 64 * 1024;

  /**
   * Bytes of a response's body that we take, a bound on a batch: a watch has no limit of its own,
   * and its tree takes several times as much of the heap. Who has missed more reads the records
   * anew, page by page.
   */
  public static final int MOST_RESPONSE = 4 * 1024 * 1024;

  /** Connections that may wait to be accepted: those of a whole fleet after a takeover. */
  public static final int ACCEPT_BACKLOG = 4096;

  /** Bytes of a request line, and of all its headers. */
  public static final int MOST_LINE = 4096;

  public static final int MOST_HEADERS = 8192;

  /** Seconds to wait for a connection. */
  public static final double CONNECT_TIMEOUT_S = 1.0;

  /** Seconds to wait for a worker's answer to direct orders. */
  public static final double WORKER_TIMEOUT_S = 2.0;

  /** Seconds to wait for the cloud. */
  public static final double CLOUD_TIMEOUT_S = 5.0;

  /** Seconds to wait for another controller. */
  public static final double MESH_TIMEOUT_S = 1.0;

  /** Orders in one response to a worker, a batch, so that its line stays well below 64 KiB. */
  public static final int MOST_ORDERS = 400;

  /** Seconds after which an idle connection is closed. */
  public static final double IDLE_CONNECTION_S = 90;

  /** Seconds in which a request must have arrived whole. */
  public static final double WHOLE_REQUEST_S = 10;

  /**
   * Share of the allowed connections that users and workers may have: the rest is for the state
   * service, the other controllers and direct orders, also when a whole fleet comes at once.
   */
  public static final double ACCEPT_SHARE = 0.9;

  /** Share of those at which idle ones are closed, the longest idle first. */
  public static final double CONNECTION_SHARE = 0.88;

  /** Share of the allowed connections that idle ones to the outside may take. */
  public static final double IDLE_LINES_SHARE = 0.06;

  /** Idle connections kept to one address. */
  public static final int KEPT_CONNECTIONS = 4;

  /** Seconds between looks at connections. */
  public static final double SWEEP_EVERY_S = 2;

  /** Seconds between ticks of the core. */
  public static final double TICK_S = 0.25;
}
