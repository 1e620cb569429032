import type { RunnerPeer, RunnerRef } from '../connection/runner-peer.js';
import { RefusalReason, taskKey } from '../messages.js';
import type {
  RefusalMessage,
  ResultMessage,
  RunnerMessage,
  Units,
} from '../messages.js';
import type { Job } from '../request/job.js';
import type { ConfigFollower } from '../version/config-follower.js';
import type { EntryContext } from './entry-context.js';
import { JobLogStep } from './entry-events.js';
import { Placement, toStart } from './placement.js';
import { RunnerDirectory } from './runner-directory.js';

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly ctx: EntryContext;
  readonly config: ConfigFollower;
  /**
   * Registers a runner in the entry's member row and returns whether it is
   * recorded there; see `Membership`.
   */
  readonly registerRunner: (ref: RunnerRef) => boolean;
  /** Called for a lost runner that no open job depends on any more. */
  readonly unregisterRunner: (ref: RunnerRef) => void;
  /** Called when the state of a task of the job has changed. */
  readonly onChanged: (job: Job, now: number) => void;
}

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5000;
const MAX_RECONNECT_DELAY_MS = 500;

/**
 * Maintains an entry's links to runners and the tasks that are sent over them.
 *
 * Tasks queue at the entry, not at the runners, and are bound late: a task is
 * sent only against a credit that a runner has granted. A task in flight
 * belongs to exactly one runner until that runner refuses it, answers it, or
 * is lost.
 */
export class Dispatcher {
  private readonly _options: DispatcherOptions;
  private readonly _ctx: EntryContext;
  private readonly _runners = new RunnerDirectory();
  private readonly _placement: Placement;
  private readonly _jobs = new Map<string, Job>();
  /** Lost runners; open jobs may have sent tasks to them. */
  private readonly _lostRunners = new Map<string, RunnerRef>();
  private _nextLinkNumber = 1;

  /** @param options - Context and callbacks. */
  constructor(options: DispatcherOptions) {
    this._options = options;
    this._ctx = options.ctx;
    this._placement = new Placement({
      runners: this._runners,
      config: () => options.config.current,
      registerRunner: options.registerRunner,
      routineShare: options.ctx.options.routineShare,
    });
  }

  /** Number of tasks that wait for placement. */
  get waiting(): number {
    return this._placement.waiting;
  }

  /** @returns All known runner incarnations. */
  runners(): IterableIterator<RunnerPeer> {
    return this._runners.all();
  }

  /**
   * Adds a job. Waiting tasks are queued; the starts of tasks that a runner
   * already holds are resent to it, so that it reports their results.
   *
   * @param job - A job without an outcome.
   */
  add(job: Job): void {
    this._jobs.set(job.spec.id, job);
    for (const index of job.waitingTasks()) {
      this._placement.push(job, index);
    }
    for (const index of job.sentTasks()) {
      const peer = this._runnerOf(job, index);
      if (peer) {
        const start = toStart(job, index);
        peer.inFlight.set(taskKey(start.job, index), start);
        if (peer.link) {
          peer.outbox.starts.push({ ...start, resend: true });
        }
      }
    }
  }

  /**
   * Puts a task back in the queue at once. A caller that backs off before the
   * retry calls this only when the delay is over.
   *
   * @param job - The job.
   * @param index - Position of a waiting task.
   */
  requeue(job: Job, index: number): void {
    if (!job.outcome && job.state(index).kind === 'waiting') {
      this._placement.push(job, index);
    }
  }

  /**
   * Removes a job's waiting tasks from the queue and cancels those in flight.
   *
   * @param job - A job whose outcome is decided.
   */
  cancelTasks(job: Job): void {
    const { id } = job.spec;
    this._placement.remove(job);
    for (const index of job.sentTasks()) {
      const peer = this._runnerOf(job, index);
      if (peer?.inFlight.delete(taskKey(id, index))) {
        peer.outbox.cancels.push({ job: id, index });
      }
    }
  }

  /**
   * Lets runners remove their records of a job.
   *
   * @param job - A job whose outcome is recorded or answered.
   */
  releaseRecords(job: Job): void {
    this._jobs.delete(job.spec.id);
    for (const key of job.runners) {
      this._runners.get(key)?.outbox.released.push(job.spec.id);
    }
  }

  /**
   * Handles an announcement, which may have been delayed. It is ignored while
   * another incarnation of the runner is responsive on its link.
   *
   * @param ref - The runner incarnation that announced itself.
   * @param now - Current time in milliseconds.
   */
  onAnnounced(ref: RunnerRef, now: number): void {
    const { linkTimeoutMs } = this._ctx.options;
    const isOtherResponsive = this._runners
      .otherIncarnations(ref)
      .some(({ link }) => link && now - link.lastMessageAtMs <= linkTimeoutMs);
    if (!isOtherResponsive) {
      this.onRunnerConfirmed(ref, now);
    }
  }

  /**
   * Handles proof of the current incarnation of a runner, by an announcement or
   * its reply to a fence. The other incarnations are lost.
   *
   * @param ref - The current incarnation of a runner.
   * @param now - Current time in milliseconds.
   */
  onRunnerConfirmed(ref: RunnerRef, now: number): void {
    for (const old of this._runners.otherIncarnations(ref)) {
      this._onRunnerLost(old, 'its runner was restarted', now);
    }
    const peer = this._runners.ensure(ref, now);
    peer.lastContactAtMs = now;
    this._options.registerRunner(ref);
  }

  /**
   * Handles a batch from a runner.
   *
   * @param linkId - The link of the batch; a replaced link is ignored.
   * @param msg - The batch.
   * @param now - Current time in milliseconds.
   */
  onMessage(linkId: string, msg: RunnerMessage, now: number): void {
    const peer = this._runners.ofLink(linkId);
    const link = peer?.link;
    if (!peer || !link) {
      return;
    }
    if (msg.fenced) {
      this._ctx.retire('A runner reported that this entry is fenced.');
      return;
    }
    if (msg.hello && msg.hello.incarnation !== peer.ref.incarnation) {
      this._onRunnerLost(peer, 'its runner was restarted', now);
      return;
    }
    link.ready ||= msg.hello !== undefined;
    link.lastMessageAtMs = now;
    peer.lastContactAtMs = now;
    link.runnerClockMs = msg.sentAtMs;
    link.runnerClockReadAtMs = now;
    link.runnerConfigVersion = msg.configVersion;
    peer.free = msg.free ?? peer.free;
    peer.accepting = msg.endpointPresent && !msg.stopping;
    this._onCredits(peer, msg);
    for (const result of msg.results) {
      this._onResult(peer, result, now);
    }
    for (const refusal of msg.refusals) {
      this._onRefusal(peer, refusal, now);
    }
  }

  /**
   * Removes a link and schedules the next attempt to connect.
   *
   * @param linkId - The link that has ended.
   * @param now - Current time in milliseconds.
   */
  onLinkClosed(linkId: string, now: number): void {
    const peer = this._runners.ofLink(linkId);
    if (peer) {
      this._runners.dropLink(peer);
      peer.reconnectAtMs =
        now + MAX_RECONNECT_DELAY_MS * this._ctx.options.random();
    }
  }

  /**
   * Closes unresponsive links, reopens missing links, and marks runners without
   * contact as lost.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    const { runnerLostMs, linkTimeoutMs } = this._ctx.options;
    for (const peer of [...this._runners.all()]) {
      if (peer.link && now - peer.link.lastMessageAtMs > linkTimeoutMs) {
        const { linkId } = peer.link;
        this._ctx.emit({ kind: 'close-link', linkId });
        this.onLinkClosed(linkId, now);
      }
      if (now - peer.lastContactAtMs > runnerLostMs) {
        this._onRunnerLost(peer, 'its runner can not be reached', now);
      } else if (!peer.link && now >= peer.reconnectAtMs) {
        this._openLink(peer, now);
      }
    }
    this._unregisterLostRunners();
  }

  /**
   * Places waiting tasks and sends at most one batch to each runner. Nothing is
   * placed while the configuration is stale.
   *
   * @param now - Current time in milliseconds.
   */
  flush(now: number): void {
    if (this._options.config.isFresh(now)) {
      this._placement.run(now);
    }
    for (const peer of this._runners.all()) {
      this._reportDemand(peer);
      this._sendBatch(peer, now);
    }
  }

  private _runnerOf(job: Job, index: number): RunnerPeer | undefined {
    const state = job.state(index);
    return state.kind === 'sent' ? this._runners.get(state.runner) : undefined;
  }

  private _openLink(peer: RunnerPeer, now: number): void {
    const { incarnation, id } = this._ctx.options;
    const linkNumber = this._nextLinkNumber++;
    const linkId = `${incarnation}/${String(linkNumber)}`;
    peer.openLink({ linkId, incarnation, entry: id, linkNumber }, now);
    this._runners.indexLink(peer);
    const { address } = peer.ref;
    this._ctx.emit({ kind: 'open-link', linkId, address });
  }

  private _onCredits(peer: RunnerPeer, msg: RunnerMessage): void {
    const credits = peer.link?.credits;
    if (!credits) {
      return;
    }
    if (msg.grants) {
      credits.slots += msg.grants.slots;
      credits.connections += msg.grants.connections;
    }
    if (msg.recalls) {
      const slots = Math.min(credits.slots, msg.recalls.slots);
      const connections = Math.min(
        credits.connections,
        msg.recalls.connections,
      );
      credits.slots -= slots;
      credits.connections -= connections;
      peer.outbox.returned = { slots, connections };
    }
  }

  private _onResult(
    peer: RunnerPeer,
    result: ResultMessage,
    now: number,
  ): void {
    const job = this._removeInFlight(peer, result.job, result.index);
    if (job) {
      peer.consecutiveRefusals = 0;
      job.markResult(result);
      this._options.onChanged(job, now);
    }
  }

  private _onRefusal(
    peer: RunnerPeer,
    refusal: RefusalMessage,
    now: number,
  ): void {
    const job = this._removeInFlight(peer, refusal.job, refusal.index);
    this._backOff(peer, refusal.reason, now);
    if (job) {
      job.markNotRun(refusal.index);
      this.requeue(job, refusal.index);
      this._ctx.logStep(
        JobLogStep.Refused,
        refusal.job,
        `task ${String(refusal.index)}: ${RefusalReason[refusal.reason]}`,
      );
    }
  }

  /**
   * Backs off from a runner that refuses starts, so that the same task is not
   * sent to it in a tight loop.
   */
  private _backOff(peer: RunnerPeer, reason: RefusalReason, now: number): void {
    if (reason === RefusalReason.FENCED) {
      this._ctx.retire('A runner reported that this entry is fenced.');
      return;
    }
    if (reason === RefusalReason.NO_CAPACITY) {
      return;
    }
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** peer.consecutiveRefusals,
    );
    peer.consecutiveRefusals += 1;
    peer.backoffUntilMs = now + backoffMs * (1 + this._ctx.options.random());
  }

  private _removeInFlight(
    peer: RunnerPeer,
    jobId: string,
    index: number,
  ): Job | undefined {
    return peer.inFlight.delete(taskKey(jobId, index))
      ? this._jobs.get(jobId)
      : undefined;
  }

  private _onRunnerLost(peer: RunnerPeer, detail: string, now: number): void {
    if (peer.link) {
      this._ctx.emit({ kind: 'close-link', linkId: peer.link.linkId });
    }
    this._runners.remove(peer);
    this._lostRunners.set(peer.key, peer.ref);
    for (const start of peer.inFlight.values()) {
      const job = this._jobs.get(start.job);
      if (job) {
        job.markLost(start.index, detail);
        this._options.onChanged(job, now);
      }
    }
  }

  /**
   * Unregisters lost runners. A successor must find every runner that may hold
   * a task of an open job, so a lost runner stays in the member row until those
   * jobs are recorded.
   */
  private _unregisterLostRunners(): void {
    for (const [key, ref] of this._lostRunners) {
      const jobs = [...this._jobs.values()];
      if (!jobs.some((job) => job.runners.has(key))) {
        this._lostRunners.delete(key);
        this._options.unregisterRunner(ref);
      }
    }
  }

  /**
   * Reports demand at once if it appears or disappears; any other change is
   * added to the next batch that has other content.
   */
  private _reportDemand(peer: RunnerPeer): void {
    const link = peer.link;
    if (!link?.ready) {
      return;
    }
    const demand = this._placement.demandOf(peer);
    const { reportedDemand } = link;
    const hasAppearedOrVanished =
      (demand.slots === 0) !== (reportedDemand.slots === 0) ||
      (demand.connections === 0) !== (reportedDemand.connections === 0);
    if (
      hasAppearedOrVanished ||
      (peer.hasOutbox && !areUnitsEqual(demand, reportedDemand))
    ) {
      peer.outbox.demand = demand;
      Object.assign(reportedDemand, demand);
    }
  }

  private _sendBatch(peer: RunnerPeer, now: number): void {
    const link = peer.link;
    if (!link) {
      return;
    }
    const { heartbeatMs } = this._ctx.options;
    if (!peer.hasOutbox && now - link.sentAtMs < heartbeatMs) {
      return;
    }
    const { current, confirmedAtMs } = this._options.config;
    const msg = peer.takeOutbox();
    if (link.runnerConfigVersion < current.version) {
      const { dataCentre, endpoint } = peer.ref;
      msg.config = current.forRunner(dataCentre, endpoint);
    }
    msg.configVersion = current.version;
    msg.confirmedAtMs = peer.toRunnerClock(confirmedAtMs);
    link.sentAtMs = now;
    this._ctx.emit({ kind: 'send', linkId: link.linkId, msg });
  }
}

const areUnitsEqual = (a: Units, b: Units): boolean =>
  a.slots === b.slots && a.connections === b.connections;
