import { expect } from 'earl';
import { OwnedRow, OwnedRowEvent } from '../lib/process/owned-row.js';
import type { StoreReply, StoreRequest } from '../lib/store.js';

const KEY = 'member/worker/vm';
/** Time within which other content has to be replaced. */
const REPAIR_MS = 2000;
const STEP_MS = 100;
/** Interval at which an entry sends orders to an idle worker. */
const ORDER_INTERVAL_MS = 500;

/**
 * A row with its owner, an entry that reports the version that it reads, and a
 * store that can lose or delay a call.
 */
class Harness {
  readonly row = new OwnedRow({ key: KEY, random: () => 0.5 }, 0);
  /** Whether an entry has a link to the owner. */
  isLinked = true;
  reads = 0;
  readonly events: OwnedRowEvent[] = [];
  readonly delayed: StoreRequest[] = [];
  value: string | null = null;
  private _version = 0;
  private _lastVersion = 0;
  private _nowMs = 0;

  /** Runs the owner for some time; the store answers unless told otherwise. */
  run(forMs: number, loses: 'nothing' | 'writes' = 'nothing'): void {
    for (const endMs = this._nowMs + forMs; this._nowMs < endMs;) {
      this._nowMs += STEP_MS;
      if (this.isLinked && this._nowMs % ORDER_INTERVAL_MS === 0) {
        this.row.onSeen(this._version);
      }
      for (;;) {
        const req = this.row.next(this._nowMs);
        if (!req) {
          break;
        }
        const isLost = loses === 'writes' && req.kind === 'transact';
        if (isLost) {
          this.delayed.push(req);
        }
        const reply: StoreReply = isLost
          ? { kind: 'unknown' }
          : this.perform(req);
        const event = this.row.onReply(reply, this._nowMs);
        if (event !== undefined) {
          this.events.push(event);
        }
      }
    }
  }

  perform(req: StoreRequest): StoreReply {
    if (req.kind !== 'transact') {
      this.reads += 1;
      const { value, _version: version } = this;
      return {
        kind: 'rows',
        rows: value === null ? [] : [{ key: KEY, value, version }],
      };
    }
    if (req.conditions.some(({ version }) => version !== this._version)) {
      return { kind: 'conflict', keys: [KEY] };
    }
    this.put(req.writes[0]?.value ?? null);
    return { kind: 'committed', version: this._lastVersion };
  }

  put(value: string | null): void {
    this._lastVersion += 1;
    this._version = value === null ? 0 : this._lastVersion;
    this.value = value;
  }

  performDelayed(): void {
    for (const req of this.delayed.splice(0)) {
      this.perform(req);
    }
  }
}

// Guards against a deletion that is performed late and hides the next incarnation
// of a worker.
it('a deletion that is performed late does not remove a later row', () => {
  const harness = new Harness();
  harness.row.set('first');
  harness.run(STEP_MS);
  harness.row.set(null);
  harness.run(STEP_MS, 'writes');
  harness.run(REPAIR_MS);
  harness.row.set('second');
  harness.run(REPAIR_MS);
  expect(harness.delayed.length).toEqual(1);
  harness.performDelayed();
  expect(harness.value).toEqual('second');
});

// Guards against a creation, which names no version, that is performed after a
// later deletion and shows a worker that has left.
it('a creation that is performed late is removed again', () => {
  const harness = new Harness();
  harness.row.set('first');
  harness.run(STEP_MS, 'writes');
  harness.run(REPAIR_MS);
  harness.row.set(null);
  harness.run(REPAIR_MS);
  harness.performDelayed();
  expect(harness.value).toEqual('first');
  harness.run(REPAIR_MS);
  expect(harness.value).toEqual(null);
  expect(harness.events).toInclude(OwnedRowEvent.Altered);
});

// Guards against an owner that trusts the last answer for ever.
for (const content of [null, 'foreign']) {
  it(`a row that becomes ${String(content)} is put right`, () => {
    const harness = new Harness();
    harness.row.set('own');
    harness.run(10 * REPAIR_MS);
    harness.put(content);
    harness.run(REPAIR_MS);
    expect(harness.value).toEqual('own');
  });
}

// Guards against a value that is written again and again after lost answers.
it('a write whose answer was lost is not repeated once it is seen', () => {
  const harness = new Harness();
  harness.row.set('own');
  harness.run(STEP_MS, 'writes');
  harness.performDelayed();
  harness.run(REPAIR_MS);
  expect(harness.events).toEqual([OwnedRowEvent.Failed, OwnedRowEvent.Written]);
});

it('a call that is refused is repeated', () => {
  const harness = new Harness();
  harness.row.set('own');
  expect(harness.row.next(0)?.kind).toEqual('read');
  harness.row.onReply({ kind: 'refused' }, 0);
  expect(harness.row.next(0)).toEqual(undefined);
  harness.run(REPAIR_MS);
  expect(harness.value).toEqual('own');
});

// Guards against a write that is performed late although the owner has returned
// to the value from before, which the row still has.
it('a replaced value is not set by a write that is performed late', () => {
  const harness = new Harness();
  harness.isLinked = false;
  harness.row.set('ready');
  harness.run(REPAIR_MS);
  harness.row.set('draining');
  harness.run(STEP_MS, 'writes');
  harness.row.set('ready');
  harness.run(REPAIR_MS);
  harness.performDelayed();
  expect(harness.value).toEqual('ready');
});

// Guards against a creation by a killed process that is performed after the next
// process has deleted the row.
it('a late creation by an earlier process is removed without a link', () => {
  const harness = new Harness();
  harness.isLinked = false;
  harness.row.set('own');
  harness.run(STEP_MS);
  harness.row.set(null);
  harness.run(6000);
  harness.put('earlier');
  harness.run(REPAIR_MS);
  expect(harness.value).toEqual(null);
});

// Guards against a row that stays missing while no entry has a link.
it('a row that disappears unseen is put right by the rare check', () => {
  const harness = new Harness();
  harness.isLinked = false;
  harness.row.set('own');
  harness.run(REPAIR_MS);
  harness.put(null);
  harness.run(30_000);
  expect(harness.value).toEqual('own');
});

// Guards against reads that add up over thousands of workers.
it('a settled row is rarely read, also beside entries that lag behind', () => {
  const harness = new Harness();
  harness.row.set('own');
  harness.run(REPAIR_MS);
  harness.reads = 0;
  harness.run(60_000);
  expect(harness.reads).toBeLessThanOrEqual(4);
  harness.reads = 0;
  for (let i = 0; i < 10; i += 1) {
    harness.row.onSeen(0);
    harness.run(STEP_MS);
  }
  expect(harness.reads).toBeLessThanOrEqual(2);
});

// Guards against processes that repeat failed calls in step.
it('failed calls are repeated after delays that differ and grow up to 1 s', () => {
  const delaysOf = (random: number): number[] => {
    const row = new OwnedRow({ key: KEY, random: () => random }, 0);
    row.set('own');
    let now = 0;
    return Array.from({ length: 6 }, () => {
      row.next(now);
      row.onReply({ kind: 'refused' }, now);
      const delayMs = row.nextDueAtMs - now;
      now = row.nextDueAtMs;
      return delayMs;
    });
  };
  expect(delaysOf(0)).toEqual([150, 300, 500, 500, 500, 500]);
  expect(delaysOf(1)).toEqual([300, 600, 1000, 1000, 1000, 1000]);
});
