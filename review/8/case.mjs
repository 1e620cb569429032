// The store is silent for a while; callers without an answer cancel their jobs;
// see claim.txt.
import console from 'node:console';
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import {
  BOUNDS,
  Deployment,
  delay,
  newId,
  runCase,
} from '../lib-2/deployment.mjs';
import { Runner } from '../lib-2/runner.mjs';

const ENTRIES = 4;
const DEADLINE_MS = 1500;
const OUTAGES = 4;
const OUTAGE_MS = 4200;
const isTroubled = process.env.TROUBLE !== '0';

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: ENTRIES,
  workers: 6,
  attempts: 3,
});

/** Jobs by id, with the time at which their cancelling was acknowledged. */
const jobs = new Map();

const cancel = async (job, entry) => {
  for (let tries = 0; tries < 40; tries += 1) {
    const at = (entry + tries) % ENTRIES;
    const { status } = await deployment.call(
      'DELETE',
      at,
      'work',
      job.id,
      undefined,
      DEADLINE_MS,
    );
    if (status === 410 || (status >= 200 && status < 300)) {
      job.cancelledAt = Date.now();
      job.cancelStatus = status;
      return;
    }
    await delay(300);
  }
};

const submit = async (count) => {
  const entry = count % ENTRIES;
  const job = { id: newId(), cancelledAt: Infinity, cancelStatus: 0 };
  jobs.set(job.id, job);
  const steps = [0, 1, 2].map((step) => ({
    count: 1,
    cpu: 800,
    mem_mb: 64,
    estimate_ms: 1500,
    ...(step > 0 ? { after: [step - 1] } : {}),
  }));
  const body = { spec: 'ms=1500', steps };
  const { status } = await deployment.call(
    'POST',
    entry,
    'work',
    job.id,
    body,
    DEADLINE_MS,
  );
  job.status = status;
  if (status === 504 || status === 502 || status === 0) {
    // The caller gives up and cancels what may have been accepted.
    await cancel(job, entry + 1);
  } else if (status === 200 && count % 10 === 0) {
    await delay(500);
    await cancel(job, entry + 1);
  }
};

const inSeconds = (at) => ((at - deployment.beganAt) / 1000).toFixed(3);

await runCase(deployment, async () => {
  await deployment.start();
  let isSubmitting = true;
  const submitting = (async () => {
    const open = [];
    for (let count = 0; isSubmitting; count += 1) {
      open.push(submit(count));
      await delay(100);
    }
    await Promise.all(open);
  })();
  await delay(2000);
  for (let outage = 0; outage < OUTAGES; outage += 1) {
    if (isTroubled) {
      deployment.setStores('silent');
    }
    await delay(OUTAGE_MS);
    if (isTroubled) {
      deployment.setStores('pass');
    }
    await delay(9000);
  }
  isSubmitting = false;
  await submitting;
  await delay(8000);
  const broken = [];
  for (const { task, startedAt } of Runner.starts) {
    const job = jobs.get(task.split('.')[0]);
    if (startedAt > job.cancelledAt + BOUNDS.cancel_ms) {
      broken.push(
        `UNASKED: ${task} started at ${inSeconds(startedAt)} s, its cancelling was acknowledged with ${job.cancelStatus} at ${inSeconds(job.cancelledAt)} s (submission: ${job.status})`,
      );
    }
  }
  const all = [...jobs.values()];
  const unanswered = all.filter(({ status }) => [0, 502, 504].includes(status));
  console.log(
    `${all.length} jobs, ${unanswered.length} submissions without an answer, ${all.filter(({ cancelledAt }) => cancelledAt < Infinity).length} cancelled`,
  );
  return broken;
});
