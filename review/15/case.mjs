// A client moves to another zone while its best-effort job runs, and cancels the
// job from there.
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';

const STEPS = 10;
const WIDTH = 4;
const TASK_MS = 900;
/** How long the client waits for the end of the job. */
const DEADLINE_MS = 20_000;
/** From the sheet of the platform's bounds. */
const CANCEL_MS = 3000;
const STOP_MS = 50;

const body = {
  best_effort: true,
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: Array.from({ length: STEPS }, (_, step) => ({
    count: WIDTH,
    cpu: 1600,
    mem_mb: 64,
    estimate_ms: TASK_MS,
    ...(step === 0 ? {} : { after: [step - 1] }),
  })),
};

const play = async (deployment, isDisturbed) => {
  const [home, away] = deployment.entries;
  const id = newId();
  const submitted = deployment.call(home, 'POST', id, body, DEADLINE_MS);
  await delay(1500);
  // A new connection goes to the entry of the zone in which the client is.
  const node = isDisturbed ? away : home;
  const { status, atMs } = await deployment.call(node, 'DELETE', id);
  if (status !== 200 && status !== 410) {
    throw new Error(`the cancel was not acknowledged: ${status}`);
  }
  const { status: ended, state } = await submitted;
  deployment.note({ what: 'job', job: id, status: ended, state });
  await delay(1000);
  const limitMs = atMs + CANCEL_MS;
  return deployment.runs.flatMap(({ what, task, run, atMs: eventMs }) => {
    const lateMs = eventMs - atMs;
    if (what === 'start' && eventMs > limitMs) {
      return [
        `UNASKED: ${task} run ${run} starts ${lateMs} ms after the cancel was acknowledged with ${status}`,
      ];
    }
    return what === 'end' && eventMs > limitMs + STOP_MS
      ? [
          `UNASKED: ${task} run ${run} runs until ${lateMs} ms after the cancel was acknowledged with ${status}`,
        ]
      : [];
  });
};

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ['z1', 'z2', 'z3'],
    runnerZones: ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'],
  },
  play,
);
