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
    countsTowardsSubset: true,
  }),
);

const subsetOfEntry = (entry: number): WorkerSubset =>
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
  expect(chosenBy(subsetOfEntry(0), fleet, 1).size).toEqual(fleet.length);
});

it('the links of all entries reach every worker with about a quarter of a full mesh', () => {
  const links = Array.from({ length: ENTRIES }, (_, entry) =>
    chosenBy(subsetOfEntry(entry)),
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
    countsTowardsSubset: true,
  }));
  const links = Array.from({ length: ENTRIES }, (_, entry) =>
    chosenBy(subsetOfEntry(entry), fleet),
  );
  const reached = new Set(links.flatMap((chosen) => [...chosen]));
  expect(links[0]?.size).toEqual(300);
  expect(reached.size).toBeGreaterThan(0.9 * fleet.length);
});

it('other links are kept when a worker is removed', () => {
  const subset = subsetOfEntry(3);
  const before = chosenBy(subset);
  const [removed] = before;
  const after = chosenBy(
    subset,
    FLEET.filter((worker) => worker.name !== removed),
  );
  const kept = [...before].filter((name) => after.has(name));
  expect(kept.length).toEqual(before.size - 1);
});

it('workers that do not answer do not count towards the subset', () => {
  const subset = subsetOfEntry(1);
  const unresponsive = new Set([...chosenBy(subset)].slice(0, 5));
  const fleet = FLEET.map((worker) => ({
    ...worker,
    countsTowardsSubset: !unresponsive.has(worker.name),
  }));
  const chosen = chosenBy(subset, fleet);
  const responsive = [...chosen].filter((name) => !unresponsive.has(name));
  expect(responsive.length).toEqual(chosenBy(subsetOfEntry(1)).size);
});

it('the subset grows while tasks wait and shrinks later', () => {
  const subset = subsetOfEntry(0);
  const usualCount = chosenBy(subset).size;
  for (let now = 0; now <= 150; now += 50) {
    subset.adjustTo(Shortage.Capacity, now);
  }
  expect(chosenBy(subset).size).toEqual(2 * usualCount);
  for (let now = 200; now <= 600; now += 50) {
    subset.adjustTo(Shortage.Workers, now);
  }
  expect(chosenBy(subset).size).toEqual(WORKERS);
  subset.adjustTo(Shortage.None, 2000);
  expect(chosenBy(subset).size).toEqual(WORKERS);
  subset.adjustTo(Shortage.None, 4000);
  expect(chosenBy(subset).size).toEqual(usualCount);
});

it('a lasting overload at most doubles the links, into other data centres', () => {
  const fleet = Array.from({ length: 160 }, (_, index) => ({
    name: `w${String(index)}`,
    dataCentre: `dc${String(index % DATA_CENTRES)}`,
    service: 'svc',
    countsTowardsSubset: true,
  }));
  const subset = subsetOfEntry(0);
  const usual = chosenBy(subset, fleet, 35);
  for (let now = 0; now <= 5000; now += 50) {
    subset.adjustTo(Shortage.Capacity, now);
  }
  const grown = chosenBy(subset, fleet, 35);
  const added = fleet.filter(({ name }) => grown.has(name) && !usual.has(name));
  expect(grown.size).toEqual(2 * usual.size);
  expect(added.some(({ dataCentre }) => dataCentre === 'dc0')).toEqual(false);
});

/** The other entries beside the one of {@link FleetHarness}. */
const OTHERS = Array.from({ length: ENTRIES - 1 }, (_, index) => ({
  name: `e${String(index + 1)}`,
  dataCentre: `dc${String((index + 1) % DATA_CENTRES)}`,
}));

it('each worker is preferred by one entry, of its own data centre', () => {
  const entries = [{ name: 'e0', dataCentre: 'dc0' }, ...OTHERS];
  const preferred = entries.map((own, index) =>
    subsetOfEntry(index).preferred(
      FLEET,
      entries.filter((other) => other !== own),
    ),
  );
  const all = preferred.flatMap((names) => [...names]);
  expect(all.length).toEqual(FLEET.length);
  expect(new Set(all).size).toEqual(FLEET.length);
  const sizes = preferred.map((names) => names.size);
  expect(Math.max(...sizes) - Math.min(...sizes)).toBeLessThanOrEqual(1);
});

class FleetHarness {
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

  putRow(name: string, incarnation = 'p1'): void {
    const row = { address: name, dataCentre: 'dc0', incarnation };
    this.fleet.onRow(name, JSON.stringify(row), 1, this.now);
  }

  /** Advances the time; each link that is opened fails immediately. */
  failLinksFor(ms: number): void {
    for (const endMs = this.now + ms; this.now < endMs; this.now += 50) {
      const before = this.actions.length;
      this.update();
      for (const action of this.actions.slice(before)) {
        if (action.kind === 'open-link') {
          this.fleet.onLinkClosed(action.linkId, 'refused', this.now);
        }
      }
    }
  }

  update(all = false): void {
    this.fleet.updateLinks(
      { fenced: [], all, shortage: Shortage.None, others: OTHERS },
      this.now,
    );
  }

  count(kind: BatchAction['kind']): number {
    return this.actions.filter((action) => action.kind === kind).length;
  }
}

it('an unreachable worker is retried with a backoff and logged once', () => {
  const harness = new FleetHarness();
  harness.putRow('w0');
  harness.failLinksFor(10_000);
  expect(harness.count('open-link')).toBeLessThanOrEqual(15);
  expect(harness.count('log')).toEqual(1);
});

it('a new worker driver process is connected to without a backoff', () => {
  const harness = new FleetHarness();
  harness.putRow('w0');
  harness.failLinksFor(10_000);
  const openedLinks = harness.count('open-link');
  harness.putRow('w0', 'p2');
  harness.update();
  expect(harness.count('open-link')).toEqual(openedLinks + 1);
});

it('a worker whose row is deleted is removed once its link is closed', () => {
  const harness = new FleetHarness();
  harness.putRow('w0');
  harness.update();
  harness.fleet.onRow('w0', null, 2, 0);
  expect(harness.fleet.views.length).toEqual(1);
  harness.fleet.onLinkClosed(1, 'ended', 1);
  harness.now = 60_000;
  harness.update();
  expect(harness.fleet.views.length).toEqual(0);
  expect(harness.count('open-link')).toEqual(1);
});

it('an entry links some of many workers, and all of them for a takeover', () => {
  const harness = new FleetHarness();
  for (let index = 0; index < WORKERS; index += 1) {
    harness.putRow(`w${String(index)}`);
  }
  harness.update();
  const usualCount = harness.count('open-link');
  expect(usualCount).toBeLessThan(WORKERS);
  harness.update(true);
  expect(harness.count('open-link')).toEqual(WORKERS);
  harness.now = 60_000;
  harness.update();
  expect(harness.count('close-link')).toBeGreaterThanOrEqual(
    WORKERS - usualCount,
  );
});
