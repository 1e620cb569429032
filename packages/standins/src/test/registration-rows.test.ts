import { expect } from 'earl';
import type { FleetCluster } from '../lib/platform/fleet-cluster.js';
import {
  countOverlaps,
  delay,
  job,
  submit,
  withCluster,
} from './cluster-checks.js';

const HTTP_OK = 200;
/** Time within which a row with other content has to be replaced. */
const REPAIR_MS = 2000;
const TASKS = 3;

const workerNames = (cluster: FleetCluster): string[] =>
  cluster.processes
    .filter(({ role }) => role === 'worker')
    .map(({ name }) => name);

const addressOf = (cluster: FleetCluster, name: string): unknown => {
  const rows = cluster.store.rows('member');
  const row = rows.find(({ key }) => key === `worker/${name}`);
  return row && (JSON.parse(row.value) as { address: unknown }).address;
};

/** Content that another writer gives to the rows of all workers. */
const CONTENTS: readonly (readonly [string, object | undefined])[] = [
  ['disappear', undefined],
  ['can not be decoded', { address: 8 }],
  ['name another address', { address: '127.0.0.1:9', dataCentre: 'dc-0' }],
];

// Guards against accepted work that is lost or begun elsewhere, and against
// workers that are no longer used, while their processes restore their rows.
for (const [title, content] of CONTENTS) {
  it(`fleet: no job is harmed when the rows of all workers ${title}`, () =>
    withCluster(async (cluster) => {
      const names = workerNames(cluster);
      const before = names.map((name) => addressOf(cluster, name));
      const accepted = Array.from({ length: 4 }, (_, i) =>
        submit(cluster, i % 2, job(1500, TASKS)),
      );
      await delay(300);
      for (const name of names) {
        cluster.store.put('member', `worker/${name}`, content);
      }
      const later = Array.from({ length: 4 }, (_, i) =>
        submit(cluster, i % 2, job(50, TASKS)),
      );
      await delay(REPAIR_MS);
      expect(names.map((name) => addressOf(cluster, name))).toEqual(before);
      const last = submit(cluster, 0, job(50, TASKS));
      const statuses = await Promise.all([...accepted, ...later, last]);
      expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
      const starts = cluster.workers.flatMap((worker) => worker.starts);
      expect(starts.length).toEqual(statuses.length * TASKS);
      expect(countOverlaps(cluster)).toEqual(0);
    }));
}
