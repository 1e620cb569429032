import type { RunnerRef } from '../connection/runner-peer.js';
import { runnerKey } from '../connection/runner-peer.js';
import { taskKey } from '../messages.js';
import type { FenceReply, ResultMessage } from '../messages.js';
import type { TaskState } from '../request/job.js';
import type { JobSpec } from '../request/job-spec.js';
import { storeKeys } from '../store.js';
import type { Condition, Row } from '../store.js';
import type { EntryContext } from './entry-context.js';
import type { JobRows } from './job-rows.js';
import type { CollectedTasks } from './job-table.js';
import type { MemberView } from './membership.js';
import type { JobRow, MemberRow } from './rows.js';

/** Dependencies of {@link Takeover}. */
export interface TakeoverOptions {
  readonly ctx: EntryContext;
  /** The entry that is taken over. */
  readonly predecessor: MemberView;
  /** @returns A condition that holds while this incarnation may own jobs. */
  readonly ownerCondition: () => Condition;
  /** Adds a runner to this entry's member row; `true` once it is stored. */
  readonly registerRunner: (ref: RunnerRef) => boolean;
  /** Called when a runner's reply to a fence call confirms its incarnation. */
  readonly onRunnerConfirmed: (ref: RunnerRef, now: number) => void;
  readonly rows: JobRows;
  /** Called with each job that has been adopted. */
  readonly onAdopted: (
    row: JobRow,
    spec: JobSpec,
    rowVersion: number,
    collected: CollectedTasks,
  ) => void;
  /**
   * @param sinceMs - When the predecessor was fenced.
   * @returns Whether there may be entries that the predecessor was taking over.
   */
  readonly hasPendingTakeovers: (sinceMs: number) => boolean;
}

type Phase =
  | 'idle'
  /** A write of the predecessor's member row has no outcome yet. */
  | 'writing'
  | 'fencing'
  | 'scanning'
  | 'adopting'
  | 'deleting'
  | 'done';

interface FenceState {
  readonly ref: RunnerRef;
  reply: FenceReply | undefined;
  calling: boolean;
  retryAtMs: number;
  /** The runner has a new incarnation, or did not answer in time. */
  isLost: boolean;
}

interface CollectedTask {
  readonly runner: string;
  readonly result: ResultMessage | undefined;
}

const FENCE_RETRY_MS = 300;
const SCAN_LIMIT = 100;

/**
 * Takes over the jobs of one entry that has failed or is leaving.
 *
 * 1. In one transaction, deletes the predecessor's owner row, so that none of
 *    its writes can take effect any more, and names this entry as the successor
 *    in the predecessor's member row.
 * 2. Fences every runner in the predecessor's member row: the runner refuses
 *    all further starts of the predecessor and returns its task records.
 * 3. Adopts each open job. A task without a record is proved not run only if
 *    every runner has returned complete records; otherwise it may have run.
 * 4. Deletes the predecessor's member row, once no other member row names the
 *    predecessor as the successor.
 */
export class Takeover {
  readonly predecessor: MemberRow;
  private readonly _options: TakeoverOptions;
  private readonly _ctx: EntryContext;
  private readonly _fences: FenceState[];
  private readonly _fenceOfCall = new Map<number, FenceState>();
  private readonly _collected = new Map<string, CollectedTask>();
  private _phase: Phase = 'idle';
  private _busy = false;
  private _fencedAtMs = 0;
  private _memberVersion: number;

  /** @param options - The predecessor, dependencies and callbacks. */
  constructor(options: TakeoverOptions) {
    this._options = options;
    this._ctx = options.ctx;
    this.predecessor = options.predecessor.row;
    this._memberVersion = options.predecessor.version;
    this._fences = this.predecessor.runners.map((ref) => ({
      ref,
      reply: undefined,
      calling: false,
      retryAtMs: 0,
      isLost: false,
    }));
  }

  /**
   * Whether the takeover is complete, or was abandoned because the
   * predecessor's member row had changed.
   */
  get isDone(): boolean {
    return this._phase === 'done';
  }

  /**
   * Starts the next step of the takeover, if one is due.
   *
   * @param now - Current time in milliseconds.
   * @param nextCallId - Returns an id for the next call to a runner.
   */
  tick(now: number, nextCallId: () => number): void {
    if (this._busy) {
      return;
    }
    switch (this._phase) {
      case 'idle':
        this._fenceEntry();
        return;
      case 'fencing':
        this._fenceRunners(now, nextCallId);
        return;
      case 'scanning':
        this._scan();
        return;
      case 'deleting':
        this._deleteMemberRow();
        return;
      case 'writing':
      case 'adopting':
      case 'done':
    }
  }

  /**
   * Processes the result of a fence call.
   *
   * @param callId - Id of the call.
   * @param reply - The runner's answer; absent when the call failed.
   * @param now - Current time in milliseconds.
   * @returns Whether the call belongs to this takeover.
   */
  onFenceReply(
    callId: number,
    reply: FenceReply | undefined,
    now: number,
  ): boolean {
    const fence = this._fenceOfCall.get(callId);
    if (!fence) {
      return false;
    }
    this._fenceOfCall.delete(callId);
    fence.calling = false;
    if (!reply) {
      fence.retryAtMs = now + FENCE_RETRY_MS;
    } else if (reply.incarnation !== fence.ref.incarnation) {
      fence.isLost = true;
    } else if (!fence.isLost) {
      fence.reply = reply;
      this._options.onRunnerConfirmed(fence.ref, now);
    }
    return true;
  }

  private _fenceEntry(): void {
    const { incarnation } = this._ctx.options;
    const key = storeKeys.member(this.predecessor.incarnation);
    const row: MemberRow = {
      ...this.predecessor,
      nonce: `${incarnation}:t:${this.predecessor.incarnation}`,
      fencedBy: incarnation,
    };
    this._phase = 'writing';
    this._ctx.writer.submit({
      conditions: [
        { key, version: this._memberVersion },
        this._options.ownerCondition(),
      ],
      writes: [
        { key, value: JSON.stringify(row) },
        { key: storeKeys.owner(this.predecessor.incarnation), value: null },
      ],
      readBackKey: key,
      onDone: (outcome, now) => {
        if (outcome.kind !== 'committed') {
          this._phase = 'done';
          return;
        }
        this._memberVersion = outcome.version;
        this._phase = 'fencing';
        this._fencedAtMs = now;
      },
    });
  }

  private _fenceRunners(now: number, nextCallId: () => number): void {
    const untilMs = this._fencedAtMs + this._ctx.options.fenceTimeoutMs;
    let open = 0;
    for (const fence of this._fences) {
      if (fence.reply) {
        // A successor of this entry must be able to fence the runner as well.
        open += this._options.registerRunner(fence.ref) ? 0 : 1;
      } else if (now >= untilMs) {
        fence.isLost = true;
      } else if (!fence.isLost) {
        open += 1;
        this._sendFence(fence, now, nextCallId);
      }
    }
    if (open === 0) {
      this._collectRecords();
      this._phase = 'scanning';
      this._scan();
    }
  }

  private _sendFence(
    fence: FenceState,
    now: number,
    nextCallId: () => number,
  ): void {
    if (fence.calling || now < fence.retryAtMs) {
      return;
    }
    const callId = nextCallId();
    fence.calling = true;
    this._fenceOfCall.set(callId, fence);
    this._ctx.emit({
      kind: 'fence',
      callId,
      address: fence.ref.address,
      req: {
        owner: this.predecessor.incarnation,
        successor: this._ctx.options.incarnation,
      },
    });
  }

  private _collectRecords(): void {
    for (const { ref, reply } of this._fences) {
      for (const record of reply?.records ?? []) {
        this._collected.set(taskKey(record.job, record.index), {
          runner: runnerKey(ref),
          result: record.result,
        });
      }
    }
  }

  private _scan(): void {
    this._busy = true;
    // Each adoption removes its job from the index, so every scan starts at the
    // beginning; the takeover goes on until the index is empty.
    const prefix = storeKeys.openPrefix(this.predecessor.incarnation);
    this._ctx.store.call(
      { kind: 'scan', prefix, after: '', limit: SCAN_LIMIT },
      (reply) => {
        this._busy = false;
        if (reply.kind !== 'rows') {
          return;
        }
        if (reply.rows.length === 0) {
          this._phase = 'deleting';
          return;
        }
        this._readJobs(reply.rows.map((r) => r.key.slice(prefix.length)));
      },
    );
  }

  private _readJobs(ids: readonly string[]): void {
    this._busy = true;
    const keys = ids.map((id) => storeKeys.job(id));
    this._ctx.store.call({ kind: 'read', keys }, (reply) => {
      this._busy = false;
      if (reply.kind === 'rows') {
        this._adoptAll(reply.rows);
      }
    });
  }

  private _adoptAll(rows: readonly Row[]): void {
    let open = rows.length;
    this._phase = 'adopting';
    for (const row of rows) {
      this._adopt(row, () => {
        open -= 1;
        if (open === 0) {
          this._phase = 'scanning';
        }
      });
    }
  }

  private _adopt(row: Row, onEnd: () => void): void {
    const { rows, onAdopted } = this._options;
    const before = JSON.parse(row.value) as JobRow;
    rows.readSpec(before, (spec) => {
      if (!spec) {
        // The job stays in the index of open jobs; the next scan retries it.
        onEnd();
        return;
      }
      rows.adopt(spec.id, before, row.version, (adopted, outcome) => {
        if (outcome.kind === 'committed') {
          const collected = this._toCollectedTasks(spec);
          onAdopted(adopted, spec, outcome.version, collected);
        }
        onEnd();
      });
    });
  }

  private _toCollectedTasks(spec: JobSpec): CollectedTasks {
    const areRecordsComplete = this._fences.every(
      (f) => f.reply && !f.reply.incomplete,
    );
    const states: TaskState[] = [];
    const results: ResultMessage[] = [];
    const lost: number[] = [];
    for (let index = 0; index < spec.tasks.length; index++) {
      const collectedTask = this._collected.get(taskKey(spec.id, index));
      if (collectedTask) {
        states.push({ kind: 'sent', runner: collectedTask.runner });
        if (collectedTask.result) {
          results.push(collectedTask.result);
        }
      } else if (areRecordsComplete) {
        states.push({ kind: 'waiting' });
      } else {
        states.push({ kind: 'sent', runner: '' });
        lost.push(index);
      }
    }
    const runners = this._fences.map(({ ref }) => runnerKey(ref));
    return { states, results, lost, runners };
  }

  private _deleteMemberRow(): void {
    if (this._options.hasPendingTakeovers(this._fencedAtMs)) {
      return;
    }
    const key = storeKeys.member(this.predecessor.incarnation);
    this._phase = 'writing';
    this._ctx.writer.submit({
      conditions: [
        { key, version: this._memberVersion },
        this._options.ownerCondition(),
      ],
      writes: [{ key, value: null }],
      readBackKey: key,
      onDone: () => {
        this._phase = 'done';
      },
    });
  }
}
