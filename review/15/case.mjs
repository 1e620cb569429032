// The store turns one entry away for some seconds, and a zone is evacuated
// meanwhile.
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';
import { Access } from '../lib-3/store.mjs';

const ZONES = ['dkr-a', 'dkr-b', 'dkr-c', 'dkr-d'];
/** Index of the zone that is evacuated, and of its entry. */
const EMPTIED = 3;
const RUNNERS = 24;
/** The runners with the label that the jobs require: the other one is in dkr-a. */
const LABELLED = [0, 15];
const TASK_MS = 286;
/** Interval between two jobs of the zone's clients. */
const INTERVAL_MS = 200;
/** `platform_down`, `nodes busy`: how long the entry is turned away. */
const REFUSED_MS = 9000;
/** Time from then until the operator evacuates the zone. */
const EVACUATE_AFTER_MS = 1500;
/** From the sheet of the platform's bounds. */
const EVACUATE_MS = 5000;
const TRAFFIC_MS = 18_000;
/** Time in which the entries settle which workers they are linked with. */
const SETTLE_MS = 6000;

const body = {
  best_effort: true,
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: [
    { count: 1, cpu: 1600, mem_mb: 64, estimate_ms: TASK_MS, requires: 'b' },
  ],
};

const submitAll = async (deployment, entry) => {
  const endsAtMs = deployment.nowMs + TRAFFIC_MS;
  const calls = [];
  while (deployment.nowMs < endsAtMs) {
    calls.push(deployment.call(entry, 'POST', newId(), body));
    await delay(INTERVAL_MS);
  }
  await Promise.all(calls);
};

const play = async (deployment, isDisturbed) => {
  const zone = ZONES[EMPTIED];
  const entry = deployment.entries[EMPTIED];
  const traffic = submitAll(deployment, entry);
  await delay(SETTLE_MS);
  if (isDisturbed) {
    deployment.note({ what: 'turned-away', process: entry.name });
    deployment.store.access.set(entry.name, Access.Busy);
    void delay(REFUSED_MS).then(() => {
      deployment.note({ what: 'served-again', process: entry.name });
      deployment.store.access.delete(entry.name);
    });
  }
  await delay(EVACUATE_AFTER_MS);
  deployment.store.put('op', `evacuate/${zone}`, {});
  const ackMs = deployment.nowMs;
  deployment.note({ what: 'evacuated', zone });
  await traffic;
  await delay(1000);
  const emptied = new Set(
    Array.from({ length: RUNNERS }, (_, i) => i)
      .filter((i) => zoneOf(i) === zone)
      .map((i) => `i-${i}`),
  );
  return deployment.runs
    .filter(
      ({ what, on, atMs }) =>
        what === 'start' && emptied.has(on) && atMs > ackMs + EVACUATE_MS,
    )
    .map(
      ({ task, run, on, atMs }) =>
        `EVAC: ${task} run ${run} starts on ${on} in ${zone} ${atMs - ackMs} ms after the evacuation was acknowledged`,
    );
};

const zoneOf = (index) => ZONES[index % ZONES.length];

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ZONES,
    runnerZones: Array.from({ length: RUNNERS }, (_, i) => zoneOf(i)),
    labels: Array.from({ length: RUNNERS }, (_, i) => [
      LABELLED.includes(i) ? 'b' : 'a',
    ]),
  },
  play,
);
