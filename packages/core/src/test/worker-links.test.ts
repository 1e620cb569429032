import { expect } from 'earl';
import type { BatchAction } from '../lib/process/batch-events.js';
import { WorkerFleet } from '../lib/process/worker-fleet.js';
import { Shortage, WorkerSubset } from '../lib/process/worker-subset.js';
import type { LinkCandidate } from '../lib/process/worker-subset.js';

const WORKERS = 68;
const ENTRIES = 12;
const DATA_CENTRES = 4;
const FLEET: readonly LinkCandidate[] = Array.from(
  { length: WORKERS },
  (_, index) => ({
    name: `w${String(index)}`,
    dataCentre: `dc${String(index % DATA_CENTRES)}`,
    service: 'svc',
    counts: true,
  }),
);

const subsetOf = (entry: number): WorkerSubset =>
  new WorkerSubset({
    entry: `e${String(entry)}`,
    dataCentre: `dc${String(entry % DATA_CENTRES)}`,
  });

const chosenBy = (
  subset: WorkerSubset,
  fleet = FLEET,
  entries = ENTRIES,
): Set<string> => subset.choose(subset.order(fleet), entries);

it('an entry links every worker of a small fleet', () => {
  const fleet = FLEET.slice(0, 11);
  expect(chosenBy(subsetOf(0), fleet, 1).size).toEqual(fleet.length);
});

it('the links of all entries reach every worker with about a quarter of a full mesh', () => {
  const links = Array.from({ length: ENTRIES }, (_, entry) =>
    chosenBy(subsetOf(entry)),
  );
  const reached = new Set(links.flatMap((chosen) => [...chosen]));
  const count = links.reduce((sum, chosen) => sum + chosen.size, 0);
  expect(reached.size).toEqual(WORKERS);
  expect(count).toBeLessThanOrEqual(0.27 * ENTRIES * WORKERS);
});

it('in larger fleets the number of links grows with the workers per entry', () => {
  const fleet = Array.from({ length: 1200 }, (_, index) => ({
    name: `w${String(index)}`,
    dataCentre: `dc${String(index % DATA_CENTRES)}`,
    service: 'svc',
    counts: true,
  }));
  const links = Array.from({ length: ENTRIES }, (_, entry) =>
    chosenBy(subsetOf(entry), fleet),
  );
  const reached = new Set(links.flatMap((chosen) => [...chosen]));
  expect(links[0]?.size).toEqual(300);
  expect(reached.size).toBeGreaterThan(0.9 * fleet.length);
});

it('other links are kept when a worker is removed', () => {
  const subset = subsetOf(3);
  const before = chosenBy(subset);
  const [gone] = before;
  const after = chosenBy(
    subset,
    FLEET.filter((worker) => worker.name !== gone),
  );
  const kept = [...before].filter((name) => after.has(name));
  expect(kept.length).toEqual(before.size - 1);
});

it('workers that do not answer do not count towards the subset', () => {
  const subset = subsetOf(1);
  const dead = new Set([...chosenBy(subset)].slice(0, 5));
  const fleet = FLEET.map((worker) => ({
    ...worker,
    counts: !dead.has(worker.name),
  }));
  const chosen = chosenBy(subset, fleet);
  const alive = [...chosen].filter((name) => !dead.has(name));
  expect(alive.length).toEqual(chosenBy(subsetOf(1)).size);
});

it('the subset grows while tasks wait and shrinks later', () => {
  const subset = subsetOf(0);
  const usual = chosenBy(subset).size;
  for (let now = 0; now <= 150; now += 50) {
    subset.note(Shortage.Room, now);
  }
  expect(chosenBy(subset).size).toEqual(2 * usual);
  for (let now = 200; now <= 600; now += 50) {
    subset.note(Shortage.Workers, now);
  }
  expect(chosenBy(subset).size).toEqual(WORKERS);
  subset.note(Shortage.None, 2000);
  expect(chosenBy(subset).size).toEqual(WORKERS);
  subset.note(Shortage.None, 4000);
  expect(chosenBy(subset).size).toEqual(usual);
});

class Links {
  now = 0;
  readonly actions: BatchAction[] = [];
  readonly fleet = new WorkerFleet({
    name: 'e0',
    incarnation: 'i0',
    dataCentre: 'dc0',
    emit: (action) => {
      this.actions.push(action);
    },
  });

  row(name: string, incarnation = 'p1'): void {
    const row = { address: name, dataCentre: 'dc0', incarnation };
    this.fleet.onRow(name, JSON.stringify(row));
  }

  /** Advances the time; each link that is opened fails immediately. */
  fail(ms: number): void {
    for (const endMs = this.now + ms; this.now < endMs; this.now += 50) {
      const known = this.actions.length;
      this.update();
      for (const action of this.actions.slice(known)) {
        if (action.kind === 'open-link') {
          this.fleet.onLinkClosed(action.linkId, 'refused', this.now);
        }
      }
    }
  }

  update(all = false): void {
    this.fleet.updateLinks(
      { fenced: [], all, shortage: Shortage.None, entries: ENTRIES },
      this.now,
    );
  }

  count(kind: BatchAction['kind']): number {
    return this.actions.filter((action) => action.kind === kind).length;
  }
}

it('an unreachable worker is retried with a backoff and logged once', () => {
  const links = new Links();
  links.row('w0');
  links.fail(10_000);
  expect(links.count('open-link')).toBeLessThanOrEqual(15);
  expect(links.count('log')).toEqual(1);
});

it('a new worker driver process is connected to without a backoff', () => {
  const links = new Links();
  links.row('w0');
  links.fail(10_000);
  const tries = links.count('open-link');
  links.row('w0', 'p2');
  links.update();
  expect(links.count('open-link')).toEqual(tries + 1);
});

it('a worker whose row is deleted is removed once its link is closed', () => {
  const links = new Links();
  links.row('w0');
  links.update();
  links.fleet.onRow('w0', null);
  expect(links.fleet.views.length).toEqual(1);
  links.fleet.onLinkClosed(1, 'ended', 1);
  links.now = 60_000;
  links.update();
  expect(links.fleet.views.length).toEqual(0);
  expect(links.count('open-link')).toEqual(1);
});

it('an entry links some of many workers, and all of them for a takeover', () => {
  const links = new Links();
  for (let index = 0; index < WORKERS; index += 1) {
    links.row(`w${String(index)}`);
  }
  links.update();
  const usual = links.count('open-link');
  expect(usual).toBeLessThan(WORKERS);
  links.update(true);
  expect(links.count('open-link')).toEqual(WORKERS);
  links.now = 60_000;
  links.update();
  expect(links.count('close-link')).toBeGreaterThanOrEqual(WORKERS - usual);
});
