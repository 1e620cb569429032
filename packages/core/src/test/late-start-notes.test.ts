import { expect } from 'earl';
import type {
  BatchAction,
  LateStartNote,
} from '../lib/process/batch-events.js';
import { LateStartNotes } from '../lib/process/late-start-notes.js';
import { ResendWindows } from '../lib/process/resend-windows.js';
import { DEFAULT_RUN_LIMITS } from '../lib/process/run-limits.js';
import { runKey } from '../lib/request/run-key.js';

// A worker may begin a run seconds after its job was given up, when the caller
// has sent the job to another entry.

const { resendMs, lateRunExpiryMs } = DEFAULT_RUN_LIMITS;
const JOB = 'a1';
const TASK = { name: `${JOB}.0.0.0`, run: 1, worker: 'w1' };
const KEY = runKey({ task: TASK.name, run: TASK.run });
const NOTE: LateStartNote = { job: JOB, workers: ['w1'], forMs: 14_000 };
const ENTRIES = ['b', 'c'];

/** What an entry knows of the worker. */
class FakeWorker {
  readonly placed = new Set([KEY]);
  linkId: number | undefined = 1;
  isUnconfirmed = true;
  lastContactAtMs = 0;

  mayBeginLate(key: string): boolean {
    return this.isUnconfirmed && this.placed.has(key);
  }

  provesNoLateStarts(sinceMs: number): boolean {
    return this.lastContactAtMs > sinceMs;
  }
}

/** The notes of one entry, whose calls and log lines are collected. */
const createNotes = () => {
  const worker = new FakeWorker();
  const sent: Extract<BatchAction, { kind: 'note-late-starts' }>[] = [];
  const lines: string[] = [];
  const silent: string[] = [];
  const resends = new ResendWindows(DEFAULT_RUN_LIMITS);
  const notes = new LateStartNotes({
    limits: DEFAULT_RUN_LIMITS,
    workerOf: (name) => (name === TASK.worker ? worker : undefined),
    silentWorkers: () => silent,
    resends,
    peers: () =>
      ENTRIES.map((name) => ({ name, address: name, dataCentre: 'dc' })),
    emit: (action) => {
      if (action.kind === 'note-late-starts') {
        sent.push(action);
      }
    },
    log: (message) => lines.push(message),
  });
  return { worker, sent, lines, silent, resends, notes };
};

it('all entries are told once of a run that may begin late, before its job is resent', () => {
  const { sent, lines, notes } = createNotes();
  notes.onAbandoned(JOB, [TASK], 0);
  for (let now = 0; now < lateRunExpiryMs; now += 50) {
    notes.pump(now);
  }
  const forMs = Math.ceil(lateRunExpiryMs - resendMs / 2);
  expect(sent).toEqual(
    ENTRIES.map((address) => ({
      kind: 'note-late-starts' as const,
      address,
      notes: [{ job: JOB, workers: ['w1'], forMs }],
    })),
  );
  expect(lines).toEqual(['late starts noted']);
});

it('nothing is sent if the end of the run is confirmed in time', () => {
  const { worker, sent, notes } = createNotes();
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(resendMs / 2 - 1);
  worker.placed.delete(KEY);
  notes.pump(resendMs / 2);
  expect(sent).toEqual([]);
});

it('nothing is sent of a run that can not begin late', () => {
  const { worker, sent, notes } = createNotes();
  worker.isUnconfirmed = false;
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(resendMs / 2);
  expect(sent).toEqual([]);
});

it('a note is withdrawn when the run has ended', () => {
  const { worker, sent, notes } = createNotes();
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(resendMs / 2);
  worker.placed.delete(KEY);
  notes.pump(2000);
  notes.pump(2050);
  expect(sent.slice(ENTRIES.length).map((call) => call.notes)).toEqual(
    ENTRIES.map(() => [{ job: JOB, workers: ['w1'], forMs: 0 }]),
  );
});

it('an incarnation that ends tells the others at once', () => {
  const { sent, notes } = createNotes();
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(0, true);
  expect(sent.length).toEqual(ENTRIES.length);
});

it('a job given up again is noted with its earlier runs', () => {
  const { worker, sent, notes } = createNotes();
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(resendMs / 2);
  worker.placed.add(runKey({ task: TASK.name, run: 2 }));
  worker.placed.delete(KEY);
  notes.onAbandoned(JOB, [{ ...TASK, run: 2 }], 1000);
  notes.pump(1000 + resendMs / 2);
  const calls = sent.filter(({ address }) => address === 'b');
  expect(calls.length).toEqual(2);
  expect(calls[1]?.notes[0]?.forMs).toEqual(
    Math.ceil(lateRunExpiryMs - resendMs / 2),
  );
});

it('a noted job is known until its time has passed', () => {
  const { notes } = createNotes();
  notes.onNotes([NOTE], 0);
  expect(notes.workersOf(JOB, NOTE.forMs - 1)).toEqual(['w1']);
  expect(notes.workersOf(JOB, NOTE.forMs)).toEqual([]);
  expect(notes.workersOf('a2', 0)).toEqual([]);
});

it('a note lasts no longer than a late run can', () => {
  const { notes } = createNotes();
  notes.onNotes([{ ...NOTE, forMs: 4_000_000_000 }], 0);
  expect(notes.workersOf(JOB, Math.ceil(lateRunExpiryMs))).toEqual([]);
});

it('a note is dropped when it is withdrawn', () => {
  const { notes } = createNotes();
  notes.onNotes([NOTE], 0);
  notes.onNotes([{ ...NOTE, workers: ['w2'] }], 10);
  notes.onNotes([{ ...NOTE, forMs: 0 }], 20);
  expect(notes.workersOf(JOB, 30)).toEqual(['w2']);
});

// The driver is alive or a later one has fenced it off, so its starts are stopped.
it('a worker that was reached after the note is not named', () => {
  const { worker, notes } = createNotes();
  notes.onNotes([NOTE], 1000);
  worker.lastContactAtMs = 1000;
  expect(notes.workersOf(JOB, 1500)).toEqual(['w1']);
  worker.lastContactAtMs = 1001;
  expect(notes.workersOf(JOB, 1500)).toEqual([]);
});

it('the oldest notes make room when there are too many', () => {
  const { lines, notes } = createNotes();
  const many = Array.from({ length: 10_001 }, (_, index) => ({
    ...NOTE,
    job: String(index),
  }));
  notes.onNotes(many, 0);
  expect(notes.workersOf('0', 1)).toEqual([]);
  expect(notes.workersOf('1', 1)).toEqual(['w1']);
  expect(lines.includes('note of late starts evicted')).toEqual(true);
});

// Guards against a note that is lost with the entry, if that is killed soon after.
it('a run at a worker whose driver is lost is noted at once', () => {
  const { worker, sent, notes } = createNotes();
  worker.linkId = undefined;
  notes.onAbandoned(JOB, [TASK], 0);
  notes.pump(0);
  notes.pump(resendMs / 2);
  expect(sent.length).toEqual(ENTRIES.length);
});

it('a job is held for that of a lost entry only when its callers may return', () => {
  const { silent, resends, notes } = createNotes();
  silent.push('w1');
  resends.onEntryLost(1000, 1400);
  expect(notes.onSubmitted('early', 1000 + resendMs - 1)).toEqual([]);
  expect(notes.onSubmitted('first', 1000 + resendMs)).toEqual(['w1']);
  expect(notes.onSubmitted('last', 1400 + resendMs + 250)).toEqual(['w1']);
  expect(notes.onSubmitted('late', 1400 + resendMs + 251)).toEqual([]);
  expect(notes.onSubmitted('first', 1400 + resendMs + 251)).toEqual(['w1']);
});

it('no job is held for that of a lost entry while all drivers answer', () => {
  const { resends, notes } = createNotes();
  resends.onEntryLost(0, 100);
  expect(notes.onSubmitted(JOB, resendMs)).toEqual([]);
});

it('the other entries are told of a job that may be that of a lost entry', () => {
  const { sent, silent, resends, notes } = createNotes();
  silent.push('w1');
  resends.onEntryLost(0, 100);
  notes.onSubmitted(JOB, resendMs);
  notes.pump(resendMs);
  notes.pump(2 * resendMs);
  const forMs = Math.ceil(lateRunExpiryMs);
  expect(sent).toEqual(
    ENTRIES.map((address) => ({
      kind: 'note-late-starts' as const,
      address,
      notes: [{ job: JOB, workers: ['w1'], forMs }],
    })),
  );
});
