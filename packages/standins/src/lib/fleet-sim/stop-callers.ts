import type { BatchContent } from '@sapphiremux/core';
import type { FleetWorld } from './fleet-world.js';
import type { SimBatchEntry } from './sim-batch-entry.js';
import { encodeSpec } from './sim-spec.js';

/** Not a multiple of the tick, so that calls arrive at any time between two. */
const CALL_INTERVAL_MS = 70;
const RUN_MS = 80;
/** Ids below are those of the jobs of the scenario. */
const FIRST_JOB = 0x1000;
const ID_DIGITS = 16;

/** Jobs that callers submit to stopping entries. */
const contentOf = (isVolatile: boolean): Omit<BatchContent, 'service'> => ({
  queue: 'q',
  spec: encodeSpec(RUN_MS, false),
  steps: [
    {
      count: 1,
      needs: { cpuMilli: 100, memoryMb: 16, accelerators: 0 },
      estimateMs: RUN_MS,
      after: [],
      checkpointing: false,
    },
  ],
  attempts: 2,
  isVolatile,
  priority: 0,
  stretch: 1.6,
  slackMs: 60,
});

/** Callers that go on calling a stopping entry over open connections. */
export class StopCallers {
  private readonly _world: FleetWorld;
  private _nextJob = FIRST_JOB;

  /** @param world - The simulated fleet. */
  constructor(world: FleetWorld) {
    this._world = world;
  }

  /** @param entry - A stopping entry, which gets calls until it has ended. */
  begin(entry: SimBatchEntry): void {
    this._call(entry, entry.generation, 0);
  }

  private _call(entry: SimBatchEntry, generation: number, index: number): void {
    if (!entry.isAlive || entry.generation !== generation) {
      return;
    }
    this._sendCall(entry, index);
    this._world.queue.after(CALL_INTERVAL_MS, () => {
      this._call(entry, generation, index + 1);
    });
  }

  private _sendCall(entry: SimBatchEntry, index: number): void {
    const world = this._world;
    const submit = (isVolatile: boolean) => () => {
      world.submit(entry, this._newJob(), contentOf(isVolatile));
    };
    const request = (kind: 'status' | 'cancel') => () => {
      world.sendJobRequest(entry, this._lastJob, kind);
    };
    const count = (): void => {
      world.sendCount(entry);
    };
    const calls = [
      submit(false),
      request('status'),
      count,
      submit(true),
      request('cancel'),
      submit(false),
      request('cancel'),
    ];
    calls[index % calls.length]?.();
  }

  private get _lastJob(): string {
    return (this._nextJob - 1).toString(16).padStart(ID_DIGITS, '0');
  }

  private _newJob(): string {
    this._nextJob += 1;
    return this._lastJob;
  }
}
