import { expect } from 'earl';
import { EntryCore } from '../lib/process/entry.js';
import type { EntryAction, EntryEvent } from '../lib/process/entry-events.js';

/** An entry without jobs whose store calls the test answers. */
class IdleEntry {
  now = 1000;
  stops = 0;
  retirements = 0;
  private readonly _core = new EntryCore(
    {
      id: 'e',
      incarnation: 'e1',
      address: 'e:1',
      dataCentre: 'dc',
      random: () => 0.5,
    },
    this.now,
  );
  private readonly _writes: number[] = [];

  handle(event: EntryEvent): void {
    for (const action of this._core.handle(event, this.now)) {
      this._onAction(action);
    }
  }

  tick(ms: number): void {
    this.now += ms;
    this.handle({ kind: 'tick' });
  }

  /** Answers the oldest write without an answer. */
  answerWrite(isCommitted: boolean): void {
    const opId = this._writes.shift() ?? 0;
    const reply = isCommitted
      ? ({ kind: 'committed', version: opId } as const)
      : ({ kind: 'conflict', keys: ['member/e1'] } as const);
    this.handle({ kind: 'store-reply', opId, reply });
  }

  private _onAction(action: EntryAction): void {
    if (action.kind === 'stopped') {
      this.stops += 1;
    } else if (action.kind === 'retire') {
      this.retirements += 1;
    } else if (action.kind === 'store' && action.req.kind === 'transact') {
      this._writes.push(action.opId);
    }
  }
}

const stopping = (): IdleEntry => {
  const entry = new IdleEntry();
  entry.tick(10);
  entry.answerWrite(true);
  entry.handle({ kind: 'stop' });
  entry.tick(10);
  return entry;
};

// Guards against a second end of the process, which closes its servers again.
it('stop: an answer that arrives after the end of a stop ends it only once', () => {
  const entry = stopping();
  entry.tick(5000);
  expect(entry.stops).toEqual(1);
  entry.answerWrite(true);
  entry.tick(5000);
  expect(entry.stops).toEqual(1);
});

// Guards against a new incarnation in a process that is to end.
it('stop: an entry that is replaced during a stop ends', () => {
  const entry = new IdleEntry();
  entry.tick(10);
  entry.handle({ kind: 'stop' });
  entry.answerWrite(false);
  expect(entry.stops).toEqual(1);
  expect(entry.retirements).toEqual(0);
});
