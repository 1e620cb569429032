// The only runner with a label goes down and up by turns while it runs a task.
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';

const RUNNERS = 9;
const LABELLED = RUNNERS - 1;
const TASK_MS = 1286;
const ATTEMPTS = 3;
/** `srv_flap`: its period, and how long it lasts. */
const PERIOD_MS = 1400;
const FLAP_MS = 6500;
/** Time for which the job is watched after the runner has come back. */
const WATCH_MS = 20_000;

const body = {
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: [
    { count: 1, cpu: 1600, mem_mb: 64, estimate_ms: TASK_MS, requires: 'b' },
  ],
};

const flap = async (deployment, runner) => {
  const endsAtMs = deployment.nowMs + FLAP_MS;
  while (deployment.nowMs < endsAtMs) {
    deployment.note({ what: 'down', runner: LABELLED });
    await runner.crash();
    await delay(PERIOD_MS / 2);
    deployment.note({ what: 'up', runner: LABELLED });
    await runner.start();
    await delay(PERIOD_MS / 2);
  }
};

const play = async (deployment, isDisturbed) => {
  const [entry] = deployment.entries;
  const runner = deployment.runners[LABELLED];
  const id = newId();
  const { status } = await deployment.call(entry, 'POST', id, body);
  if (status !== 200) {
    throw new Error(`the job was not accepted: ${status}`);
  }
  await delay(PERIOD_MS / 2);
  if (isDisturbed) {
    await flap(deployment, runner);
  }
  const endsAtMs = deployment.nowMs + WATCH_MS;
  let shown;
  while (
    deployment.nowMs < endsAtMs &&
    !['completed', 'failed'].includes(shown)
  ) {
    await delay(500);
    const { state } = await deployment.call(entry, 'GET', id);
    shown = state ?? shown;
  }
  const ofJob = deployment.runs.filter(({ task }) => task.startsWith(id));
  const failures = ofJob.filter(({ how }) => how === 'failed').length;
  const crashes = ofJob.filter(({ what }) => what === 'crashed').length;
  deployment.note({ what: 'job', job: id, shown, failures, crashes });
  return shown === 'failed' && failures < ATTEMPTS
    ? [
        `LOST: job ${id} is shown as failed after ${failures} ends "failed" of ${ATTEMPTS} attempts; its runner went down ${crashes} times`,
      ]
    : [];
};

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ['z1', 'z2', 'z3'],
    runnerZones: Array.from({ length: RUNNERS }, (_, i) => `z${1 + (i % 3)}`),
    labels: Array.from({ length: RUNNERS }, (_, i) => [
      i === LABELLED ? 'b' : 'a',
    ]),
    attempts: ATTEMPTS,
  },
  play,
);
