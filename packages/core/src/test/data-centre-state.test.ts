import { expect } from 'earl';
import { StartRefusal } from '../lib/messages.js';
import { DriverHarness, ready, refusals, starts } from './worker-harness.js';

// A driver learns from the orders of entries that its data centre is out of
// service. An entry that the store turns away goes on with what it has read last.

const HELD = { holdUntilMs: 60_000 };
/** Bound of an evacuation. */
const EVACUATION_MS = 5000;

/**
 * A driver that is linked with one entry, whose knowledge is that of the start of
 * the test.
 */
class TurnedAwayEntry {
  readonly driver = ready();
  private readonly _beganAtMs = this.driver.now;

  /** Lets time pass in which the entry sends orders each 250 ms. */
  pass(ms: number): void {
    for (let passed = 0; passed < ms; passed += 50) {
      this.driver.advance(50);
      if (this.driver.count('hold') > 0) {
        this.driver.answerPoll();
      }
      if (passed % 250 === 0) {
        this.order();
      }
    }
  }

  order(...tasks: string[]): void {
    this.driver.order({
      ...HELD,
      operatorVersion: 5,
      operatorAgeMs: this.driver.now - this._beganAtMs,
      starts: tasks.length > 0 ? starts(...tasks) : [],
    });
  }

  /** Answers the read that the driver has begun. */
  answerRead(isOutOfService: boolean, version = 9): void {
    expect(this.driver.reads.splice(0)).toEqual(['dc']);
    const read = { version, isOutOfService };
    this.driver.handle({ kind: 'data-centre-read', read });
  }

  failRead(): void {
    expect(this.driver.reads.splice(0)).toEqual(['dc']);
    this.driver.handle({ kind: 'data-centre-read', read: undefined });
  }
}

// Guards against starts in a data centre that was put out of service while the
// only linked entry could not read it.
it('a driver reads the state of its data centre if its entries are behind', () => {
  const entry = new TurnedAwayEntry();
  entry.pass(2400);
  expect(entry.driver.reads).toEqual([]);
  entry.pass(200);
  entry.answerRead(true);
  entry.order('j.0.0.0');
  expect(refusals(entry.driver)).toEqual([StartRefusal.NOT_READY]);
  expect(entry.driver.count('start')).toEqual(0);
});

it('a driver reads the state again before an evacuation has to be in force', () => {
  const entry = new TurnedAwayEntry();
  entry.pass(2600);
  for (let reads = 0; reads < 5; reads += 1) {
    entry.answerRead(false, 6 + reads);
    const { driver } = entry;
    const beganAtMs = driver.now;
    while (driver.reads.length === 0) {
      entry.pass(50);
      expect(driver.now - beganAtMs < EVACUATION_MS - 1000).toEqual(true);
    }
  }
});

it('a driver does not read the state while an entry is in touch with the store', () => {
  const entry = new TurnedAwayEntry();
  entry.driver.openLink(2, 'b1');
  for (let passed = 0; passed < 10_000; passed += 500) {
    entry.pass(500);
    const fresh = { ...HELD, operatorVersion: 7, operatorAgeMs: 1200 };
    entry.driver.order({ ...fresh, incarnation: 'b1' }, 2);
  }
  expect(entry.driver.reads).toEqual([]);
});

it('an entry that is in touch again ends the reads', () => {
  const entry = new TurnedAwayEntry();
  entry.pass(2600);
  entry.answerRead(true);
  entry.driver.order({ ...HELD, operatorVersion: 12, operatorAgeMs: 0 });
  entry.order('j.0.0.0');
  expect(entry.driver.count('start')).toEqual(1);
});

it('runs go on while neither an entry nor the driver reaches the store', () => {
  const entry = new TurnedAwayEntry();
  entry.pass(2600);
  entry.failRead();
  entry.order('j.0.0.0');
  expect(entry.driver.count('start')).toEqual(1);
});

it('failed reads are repeated at growing intervals', () => {
  const entry = new TurnedAwayEntry();
  entry.pass(2600);
  for (const waitMs of [500, 1000, 2000, 4000, 8000, 8000]) {
    entry.failRead();
    entry.pass(waitMs - 100);
    expect(entry.driver.reads).toEqual([]);
    entry.pass(150);
  }
});

/** A driver that has started and is linked, without any order yet. */
const started = (): DriverHarness => {
  const driver = new DriverHarness();
  driver.announce();
  driver.handle({ kind: 'link-open', linkId: 1 });
  driver.advance(10);
  return driver;
};

// Guards against a driver that has just started and takes the old state of an
// entry for the present one.
for (const operatorAgeMs of [8000, undefined]) {
  it(`a new driver starts nothing before it has read the state: age ${String(operatorAgeMs)}`, () => {
    const driver = started();
    const order = { ...HELD, operatorVersion: 5, operatorAgeMs };
    driver.order({ ...order, starts: starts('j.0.0.0') });
    expect(driver.count('start')).toEqual(0);
    expect(driver.reads).toEqual(['dc']);
    const read = { version: 9, isOutOfService: false };
    driver.handle({ kind: 'data-centre-read', read });
    driver.order({ ...order, starts: starts('k.0.0.0') });
    expect(driver.count('start')).toEqual(1);
  });
}
