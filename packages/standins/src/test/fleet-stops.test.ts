import { expect } from 'earl';
import type { FleetStep } from '../lib/fleet-sim/fleet-commands.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

// Planned stops, which last 2.5 s or longer and have a grace of 6 s. Callers go
// on calling a stopping entry until it has ended.

/** An idle entry marks its row as left 2.5 s after the signal. */
const BEFORE_LEAVING_MS = 2400;
/** An entry with open jobs marks its row as left later. */
const LATE_MS = 4900;
/** Longer than an entry that is silent keeps its lease. */
const FREEZE_MS = 3500;

/** Jobs that are open for longer than a stop lasts without them. */
const LONG_JOBS = [
  step({ kind: 'submit', entry: 0, job: 3 }, 0),
  step({ kind: 'submit', entry: 0, job: 7 }, 100),
];

const stop = (entry: number): FleetStep =>
  step({ kind: 'stop-entry', entry, startAfterMs: 300 }, 900);

/** A planned stop during which the store changes to a mode. */
const stopWith = (mode: StoreMode, afterMs: number, entry = 0): FleetStep =>
  step({ kind: 'stop-entry', entry, store: { mode, afterMs } }, 900);

const expectKept = (steps: readonly FleetStep[]): void => {
  expect(brokenRules(steps)).toEqual({});
};

// Cancels of open volatile jobs got no reply.
it('fleet: a planned stop without faults answers every call', () => {
  expectKept([stop(0)]);
});

// The entry was fenced before it knew that its row was marked as left.
it('fleet: a stop ends if the store loses the reply to its last write', () => {
  expectKept([stopWith(StoreMode.LosingReplies, BEFORE_LEAVING_MS)]);
});

it('fleet: a stop with open jobs ends if the store loses replies', () => {
  expectKept([...LONG_JOBS, stopWith(StoreMode.LosingReplies, LATE_MS)]);
});

// Calls that waited for the store were cut when the grace was over.
it('fleet: a stop ends in time while the store is silent', () => {
  expectKept([stopWith(StoreMode.Unresponsive, 0)]);
});

// The last write waited for the store until the grace was over.
it('fleet: a stop ends in time if the store falls silent at its end', () => {
  expectKept([stopWith(StoreMode.Unresponsive, BEFORE_LEAVING_MS)]);
});

it('fleet: a stop with open jobs ends in time if the store falls silent', () => {
  expectKept([...LONG_JOBS, stopWith(StoreMode.Unresponsive, LATE_MS)]);
});

it('fleet: a stop ends in time if the store refuses calls at its end', () => {
  expectKept([stopWith(StoreMode.Refusing, BEFORE_LEAVING_MS)]);
});

it('fleet: a stop ends in time if the store is slow at its end', () => {
  expectKept([stopWith(StoreMode.Slow, BEFORE_LEAVING_MS)]);
});

it('fleet: a stop ends in time at an entry that is cut off from the store', () => {
  expectKept([
    ...LONG_JOBS,
    step({ kind: 'cut-entry-store', entry: 0 }, 1500),
    stop(0),
  ]);
});

// The incarnation that follows a fenced one did not know of the stop.
it('fleet: an entry that is fenced during its stop stays stopping', () => {
  expectKept([
    ...LONG_JOBS,
    stop(0),
    step({ kind: 'pause-entry', entry: 0 }, FREEZE_MS),
    step({ kind: 'resume' }, 0),
  ]);
});

it('fleet: an entry that learns of its fence after the signal stays stopping', () => {
  expectKept([
    ...LONG_JOBS,
    step({ kind: 'pause-entry', entry: 0 }, FREEZE_MS),
    step({ kind: 'resume' }, 0),
    stop(0),
  ]);
});

it('fleet: an entry that other entries replace in its stop stays stopping', () => {
  expectKept([step({ kind: 'cut-entries', entry: 0 }, 2000), stop(0)]);
});

// Stops that follow each other, with a store that is faulty late in one of them.
it('fleet: stops in series end in time', () => {
  expectKept([
    stop(0),
    stop(1),
    stop(2),
    step({ kind: 'submit', entry: 0, job: 3 }, 2000),
    stop(0),
    stopWith(StoreMode.LosingReplies, 2000, 1),
    stop(2),
  ]);
});
