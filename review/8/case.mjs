// One entry is killed while its queue is counted; see claim.txt.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import console from 'node:console';
import process from 'node:process';
import {
  BOUNDS,
  Deployment,
  delay,
  newId,
  runCase,
} from '../lib-2/deployment.mjs';
import { Runner } from '../lib-2/runner.mjs';

const ENTRIES = 4;
const WORKERS = 6;
const JOBS = 100;
const KILLS = 4;
const DOWN_MS = 3500;
const COUNT_INTERVAL_MS = 100;
const isTroubled = process.env.TROUBLE !== '0';

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: ENTRIES,
  workers: WORKERS,
  attempts: 3,
});

await runCase(deployment, async () => {
  await deployment.start();
  const submit = async (entry, cpu, spec, count = 1) => {
    const id = newId();
    const steps = [{ count, cpu, mem_mb: 64, estimate_ms: 100_000 }];
    const { status } = await deployment.call('POST', entry, 'work', id, {
      spec,
      steps,
    });
    return status === 200 ? id : undefined;
  };
  // Keeps all workers busy for the whole script.
  await submit(ENTRIES - 1, 16_000, 'ms=200000', WORKERS);
  await delay(1000);
  const accepted = [];
  for (let count = 0; count < JOBS; count += 1) {
    const id = await submit(0, 1600, 'ms=1000');
    if (id !== undefined) {
      accepted.push(id);
    }
  }
  await delay(BOUNDS.visible_ms + 2000);
  const begun = () =>
    accepted.filter((id) =>
      Runner.starts.some(({ task }) => task.startsWith(`${id}.`)),
    ).length;
  const disturbed = new Map();
  const broken = [];
  let counts = 0;
  let isCounting = true;
  const count = async (entry) => {
    while (isCounting) {
      const at = Date.now();
      const { status, body } = await deployment.call('GET', entry, 'work');
      // A machine is in touch if its processes ran all the while.
      const isInTouch = at - (disturbed.get(entry) ?? 0) > BOUNDS.contact_ms;
      if (status === 200 && isInTouch) {
        counts += 1;
        const waiting = accepted.length - begun();
        if (body.pending < waiting / 2) {
          broken.push(
            `MIXED: entry-${entry} gave ${body.pending} as pending at ${((at - deployment.beganAt) / 1000).toFixed(3)} s, when ${waiting} jobs waited`,
          );
        }
      }
      await delay(COUNT_INTERVAL_MS);
    }
  };
  const counting = Array.from({ length: ENTRIES }, (_, entry) => count(entry));
  await delay(1000);
  for (let kill = 0; kill < KILLS; kill += 1) {
    // The entry that has taken the jobs over is the one to kill next.
    const entry = kill % (ENTRIES - 1);
    if (isTroubled) {
      disturbed.set(entry, Infinity);
      deployment.signal(`entry-${entry}`, 'SIGKILL');
    }
    await delay(DOWN_MS);
    if (isTroubled) {
      deployment.spawn(`entry-${entry}`);
      disturbed.set(entry, Date.now() + 500);
    }
    await delay(6000);
  }
  isCounting = false;
  await Promise.all(counting);
  console.log(`${counts} counts, ${accepted.length} jobs`);
  return broken;
});
