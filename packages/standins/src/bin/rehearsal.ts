import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Script } from 'node:vm';
import { sendJson } from '../lib/platform/desk-client.js';
import {
  APP_PORT,
  CONTROL_PORT,
  FLEET_HOST,
  FLEET_SERVICE,
  FRONT_PORT,
  dataCentreOf,
  fleetConfiguration,
  formatSettings,
} from '../lib/platform/fleet-settings.js';
import { FleetWorker } from '../lib/platform/fleet-worker.js';
import { TableStore } from '../lib/platform/table-store.js';

/**
 * Runs an entry and a worker driver process of the bundled program in this
 * process, submits jobs, and writes the V8 code cache of one role. The cache then
 * holds the code of every function that the jobs have used, so that a process
 * does not compile them while it serves its first callers.
 *
 * Arguments: directory of the bundles, role.
 */
const [directory = '', role = ''] = process.argv.slice(2);
const JOBS = 60;
const JOB_INTERVAL_MS = 10;
const RUN_MS = 20;
const MAX_ATTEMPTS = 200;
const RETRY_MS = 50;
const ID_BYTES = 8;
const HTTP_OK = 200;

interface Bundle {
  readonly script: Script;
  readonly exports: { readonly run: () => Promise<void> };
}

/** The loader of the bundles, which the processes use as well. */
interface Loader {
  readonly load: (role: string) => Bundle;
  readonly cachePath: (role: string) => string;
}

const loader = createRequire(import.meta.url)(
  resolve(directory, 'sapphiremux.cjs'),
) as Loader;
// Depends on the process id, so that several builds can run at the same time.
const addressPrefix = `127.${String(20 + (process.pid % 200))}.3`;
const scratch = mkdtempSync(join(tmpdir(), 'sapphiremux-'));
const store = new TableStore();
const scripts = new Map<string, Script>();
const hostOf = (index: number): string => `${addressPrefix}.${String(index)}`;
const [workerHost, entryHost] = [hostOf(1), hostOf(2)];

const runRole = async (name: string, host: string): Promise<void> => {
  const file = join(scratch, `${name}.toml`);
  const { address } = store;
  const settings = { name, host, index: 0, store: address };
  writeFileSync(file, formatSettings(settings));
  process.env.SAPPHIREMUX_CONFIG = file;
  const { script, exports } = loader.load(name);
  scripts.set(name, script);
  await exports.run();
};

const submit = (): Promise<number> => {
  const id = randomBytes(ID_BYTES).toString('hex');
  const url = `http://${entryHost}:${String(FRONT_PORT)}/short/${id}`;
  return sendJson(url, FLEET_HOST, {
    best_effort: true,
    spec: String(RUN_MS),
    steps: [{ count: 2, cpu: 1600, mem_mb: 64, estimate_ms: RUN_MS }],
  }).catch(() => 0);
};

// The log lines of the roles are of no interest to the build.
const write = process.stdout.write.bind(process.stdout);
process.stdout.write = () => true;
await store.start(hostOf(3));
store.put('op', 'config', fleetConfiguration(1));
const worker = new FleetWorker({
  id: 'i-0',
  service: FLEET_SERVICE,
  dataCentre: dataCentreOf(0),
  control: `${workerHost}:${String(CONTROL_PORT)}`,
  listen: { host: workerHost, port: APP_PORT },
});
await runRole('worker', workerHost);
await worker.start();
await runRole('entry', entryHost);
let attempts = 0;
while ((await submit()) !== HTTP_OK && attempts < MAX_ATTEMPTS) {
  attempts += 1;
  await sleep(RETRY_MS);
}
const statuses: Promise<number>[] = [];
for (let job = 0; job < JOBS; job += 1) {
  statuses.push(submit());
  await sleep(JOB_INTERVAL_MS);
}
const served = (await Promise.all(statuses)).filter((s) => s === HTTP_OK);
process.stdout.write = write;
const script = scripts.get(role);
if (!script || served.length === 0) {
  throw new Error(`role ${role}: ${String(served.length)} jobs served`);
}
writeFileSync(loader.cachePath(role), script.createCachedData());
rmSync(scratch, { recursive: true, force: true });
process.exit(0);
