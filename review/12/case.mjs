// A runner loses power and comes back under its old id, where it carries out the
// starts that it has left without an answer.
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';

const ZONES = ['recife', 'fortaleza', 'salvador'];
const RUNNERS = 7;
const WIDTH = 10;
const TASK_MS = 25;
/** Interval between two jobs. */
const INTERVAL_MS = 100;
/** `srv_crash`, `same dark`: how long the runner is dark, and how often. */
const DARK_MS = 600;
const ROUNDS = 3;
const ROUND_MS = 8000;

const body = {
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: [{ count: WIDTH, cpu: 1600, mem_mb: 64, estimate_ms: TASK_MS }],
};

const submitAll = async (deployment) => {
  const endsAtMs = deployment.nowMs + ROUNDS * ROUND_MS;
  const calls = [];
  while (deployment.nowMs < endsAtMs) {
    const entry = deployment.entries[calls.length % ZONES.length];
    calls.push(deployment.call(entry, 'POST', newId(), body));
    await delay(INTERVAL_MS);
  }
  await Promise.all(calls);
};

const restartInTurn = async (deployment) => {
  for (let round = 0; round < ROUNDS; round += 1) {
    await delay(ROUND_MS / 2);
    const index = round % RUNNERS;
    deployment.note({ what: 'dark', runner: `i-${index}` });
    await deployment.runners[index].goDark();
    await delay(DARK_MS);
    await deployment.runners[index].comeBack();
    deployment.note({ what: 'back', runner: `i-${index}` });
    await delay(ROUND_MS / 2 - DARK_MS);
  }
};

const play = async (deployment, isDisturbed) => {
  await Promise.all([
    submitAll(deployment),
    isDisturbed ? restartInTurn(deployment) : undefined,
  ]);
  await delay(5000);
  const runs = deployment.runs.toSorted((a, b) => a.atMs - b.atMs);
  const lapses = runs.filter(({ what }) => what === 'lapse');
  const byTask = new Map();
  for (const event of runs.filter(({ task }) => task !== '')) {
    const events = byTask.get(event.task) ?? [];
    events.push(event);
    byTask.set(event.task, events);
  }
  return [...byTask].flatMap(([task, events]) =>
    startsAfterDone(events, lapses).map(
      ({ done, noted, start }) =>
        `TWICE: ${task} starts again as run ${start.run} on ${start.on} at ${start.atMs} ms; run ${done.run} has ended done on ${done.on} at ${done.atMs} ms, noted at ${noted.atMs} ms`,
    ),
  );
};

/** Starts of a task after an end `done` that is noted without a lapse between. */
const startsAfterDone = (events, lapses) =>
  events
    .filter(({ what, how }) => what === 'end' && how === 'done')
    .flatMap((done) => {
      const noted = events.find(
        ({ what, run, on, atMs }) =>
          what === 'noted' &&
          run === done.run &&
          on === done.on &&
          atMs >= done.atMs,
      );
      const hasLapsed = lapses.some(
        ({ on, atMs }) =>
          on === done.on && atMs >= done.atMs && atMs <= noted?.atMs,
      );
      const start = events.find(
        ({ what, run, atMs }) =>
          what === 'start' && run > done.run && atMs > done.atMs,
      );
      return noted && start && !hasLapsed ? [{ done, noted, start }] : [];
    });

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ZONES,
    runnerZones: Array.from({ length: RUNNERS }, (_, i) => ZONES[i % 3]),
    runnerOptions: { keepsStarts: true, firstHeartbeatMs: 300 },
  },
  play,
);
