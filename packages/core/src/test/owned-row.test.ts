import { expect } from 'earl';
import { OwnedRow, OwnedRowEvent } from '../lib/process/owned-row.js';
import type { StoreReply, StoreRequest } from '../lib/store.js';

const KEY = 'member/worker/vm';
/** Time within which other content has to be replaced. */
const REPAIR_MS = 2000;
const STEP_MS = 100;

/** A row with its owner, and a store that can lose or delay a call. */
class Harness {
  readonly row = new OwnedRow(KEY);
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
