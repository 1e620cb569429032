import { dirname, join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Client } from './client.mjs';
import { Deployment } from './deployment.mjs';
import { openRecord } from './record.mjs';

const LIMIT_MS = 115_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case: starts the deployment, plays the case and ends everything.
 * Exits with 1 if `play` returns a text that says how the rule was broken, with
 * 0 if it returns nothing, and with 2 if the case could not run.
 *
 * @param moduleUrl - `import.meta.url` of the case.
 * @param size - Numbers of entries and workers, options of the runners.
 * @param play - Plays the case; `isTrouble` tells whether the disruption comes.
 */
export const runCase = async (moduleUrl, size, play) => {
  const folder = dirname(fileURLToPath(moduleUrl));
  const record = openRecord(join(folder, 'record.txt'));
  const isTrouble = process.env.TROUBLE !== '0';
  record.write('case', { trouble: isTrouble });
  const deployment = new Deployment(record);
  let status = NOT_RUN;
  const finish = async () => {
    await deployment.close();
    await record.close();
    process.exit(status);
  };
  process.once('SIGTERM', () => void finish());
  process.once('SIGINT', () => void finish());
  const limit = setTimeout(() => {
    record.write('verdict', { text: 'the case took too long' });
    void finish();
  }, LIMIT_MS);
  try {
    await deployment.start(size);
    const client = new Client(deployment, record);
    const broken = await play({ deployment, client, record, isTrouble });
    status = broken === undefined ? HELD : BROKEN;
    const text = broken ?? 'the rule held';
    record.write('verdict', { text });
    process.stdout.write(`${text}\n`);
  } catch (err) {
    record.write('verdict', { text: `could not run: ${err.stack}` });
    process.stdout.write(`could not run: ${err.stack}\n`);
  }
  clearTimeout(limit);
  await finish();
};
