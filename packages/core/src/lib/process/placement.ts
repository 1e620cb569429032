import type { RunnerPeer, RunnerRef } from '../connection/runner-peer.js';
import { taskKey } from '../messages.js';
import type { StartMessage, Units } from '../messages.js';
import type { Job } from '../request/job.js';
import type { Configuration } from '../version/configuration.js';
import type { RunnerDirectory } from './runner-directory.js';
import type { QueuedTask } from './task-queue.js';
import { WorkQueues } from './work-queues.js';
import type { WorkQueue } from './work-queues.js';

/** Options of {@link Placement}. */
export interface PlacementOptions {
  readonly runners: RunnerDirectory;
  /** @returns The configuration in force. */
  readonly config: () => Configuration;
  /**
   * Registers a runner in the entry's member row and returns whether it is
   * recorded there; see `Membership`.
   */
  readonly registerRunner: (ref: RunnerRef) => boolean;
  /** Minimum share of placements for routine tasks while any wait. */
  readonly routineShare: number;
}

const MAX_DEMAND = 64;

/**
 * Assigns waiting tasks to runners that have granted credits.
 *
 * Each task goes to the eligible runner with the most credits. The cost per
 * task is linear in the number of runners of its endpoint.
 */
export class Placement {
  private readonly _options: PlacementOptions;
  private readonly _queues: WorkQueues;

  /** @param options - Runners, configuration and shares. */
  constructor(options: PlacementOptions) {
    this._options = options;
    this._queues = new WorkQueues(options.routineShare);
  }

  /** Number of waiting tasks. */
  get waiting(): number {
    return this._queues.size;
  }

  /**
   * @param job - The job of the task.
   * @param index - Position of a waiting task.
   */
  push(job: Job, index: number): void {
    this._queues.push(job, index);
  }

  /** @param job - A job whose waiting tasks are removed. */
  remove(job: Job): void {
    this._queues.remove(job);
  }

  /**
   * Assigns every waiting task that a runner can start now.
   *
   * @param now - Current time in milliseconds.
   */
  run(now: number): void {
    for (const queue of this._queues.all()) {
      this._placeFrom(queue, now);
    }
  }

  /**
   * @param peer - A runner.
   * @returns Number of waiting tasks that the runner could start, by pool and
   * capped at {@link MAX_DEMAND}.
   */
  demandOf(peer: RunnerPeer): Units {
    return {
      slots: this._demandOf(peer, 'slots'),
      connections: this._demandOf(peer, 'connections'),
    };
  }

  private _placeFrom(queue: WorkQueue, now: number): void {
    let peer: RunnerPeer | undefined;
    const canPlace = (task: QueuedTask): boolean => {
      peer = this._selectRunner(queue, task, now);
      return peer !== undefined;
    };
    for (;;) {
      const task = queue.tasks.take(canPlace);
      if (!task || !peer) {
        return;
      }
      this._sendStart(peer, queue.pool, task);
    }
  }

  private _selectRunner(
    queue: WorkQueue,
    task: QueuedTask,
    now: number,
  ): RunnerPeer | undefined {
    const needs = task.job.spec.tasks[task.index]?.needs;
    let best: RunnerPeer | undefined;
    let mostCredits = 0;
    for (const peer of this._options.runners.ofEndpoint(queue.endpoint)) {
      const credits = peer.link?.credits[queue.pool] ?? 0;
      if (
        credits > mostCredits &&
        peer.canStart(queue.pool, needs, now) &&
        this._isEligible(peer, task.job) &&
        this._isRegisteredFor(peer, queue.pool)
      ) {
        best = peer;
        mostCredits = credits;
      }
    }
    return best;
  }

  private _isEligible(peer: RunnerPeer, job: Job): boolean {
    const { dataCentres } = job.spec;
    return (
      (dataCentres.length === 0 || dataCentres.includes(peer.ref.dataCentre)) &&
      peer.isInService(this._options.config())
    );
  }

  /**
   * Requests, which use the connections pool, are not taken over, so a
   * successor need not find their runners.
   */
  private _isRegisteredFor(peer: RunnerPeer, pool: keyof Units): boolean {
    if (pool === 'connections') {
      return true;
    }
    peer.isRegistered ||= this._options.registerRunner(peer.ref);
    return peer.isRegistered;
  }

  private _sendStart(
    peer: RunnerPeer,
    pool: keyof Units,
    { job, index }: QueuedTask,
  ): void {
    const start = toStart(job, index);
    job.markSent(index, peer.key);
    peer.inFlight.set(taskKey(start.job, index), start);
    peer.outbox.starts.push(start);
    if (peer.link) {
      peer.link.credits[pool] -= 1;
    }
    if (start.needs) {
      peer.free = subtract(peer.free, start.needs);
    }
  }

  private _demandOf(peer: RunnerPeer, pool: keyof Units): number {
    const queue = this._queues.find(peer.ref.endpoint, pool);
    if (!queue || queue.tasks.size === 0 || !peer.accepting) {
      return 0;
    }
    let demand = 0;
    for (const [job, count] of queue.tasks.waiting()) {
      demand += this._isEligible(peer, job) ? count : 0;
      if (demand >= MAX_DEMAND) {
        return MAX_DEMAND;
      }
    }
    return demand;
  }
}

/**
 * @param job - A job.
 * @param index - Position of one of its tasks.
 * @returns The message that starts the task.
 */
export const toStart = (job: Job, index: number): StartMessage => {
  const task = job.spec.tasks[index];
  return {
    job: job.spec.id,
    index,
    kind: job.kind,
    endpoint: task?.endpoint ?? '',
    payload: Buffer.from(task?.payload ?? ''),
    contentType: job.contentType,
    deadlineMs: job.spec.deadlineMs,
    needs: task?.needs,
    resend: false,
  };
};

const subtract = (
  free: RunnerPeer['free'],
  needs: NonNullable<StartMessage['needs']>,
): RunnerPeer['free'] => ({
  cores: free.cores - needs.cores,
  memoryMb: free.memoryMb - needs.memoryMb,
  accelerators: free.accelerators - needs.accelerators,
});
