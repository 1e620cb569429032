import { parseArgs } from 'node:util';
import { Soak } from '../lib/soak/soak.js';
import type { SoakOptions, SoakReport } from '../lib/soak/soak.js';

/**
 * Runs entries and worker drivers as processes under seeded faults. Exit codes:
 * 0 if all promises were kept, 1 if one was broken, 2 for invalid arguments.
 */

const MS_PER_MINUTE = 60_000;
const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;
const MAX_LISTED = 10;
const USAGE =
  'usage: npm run soak -- --seed N [--minutes M] [--entries E] [--workers W] [--program FILE]';

const readOptions = (): SoakOptions | undefined => {
  try {
    const { values } = parseArgs({
      options: {
        seed: { type: 'string' },
        /** Duration of the traffic and the faults. */
        minutes: { type: 'string', default: '1' },
        entries: { type: 'string', default: '3' },
        workers: { type: 'string', default: '4' },
        /** Launcher of another build, for example of one with a planted fault. */
        program: { type: 'string' },
      },
    });
    const [seed = '', minutes, entries, workers] = [
      values.seed,
      values.minutes,
      values.entries,
      values.workers,
    ];
    const isValid =
      /^\d{1,9}$/.test(seed) &&
      Number(minutes) > 0 &&
      /^[1-9]\d{0,2}$/.test(entries) &&
      /^[1-9]\d{0,2}$/.test(workers);
    return isValid
      ? {
          seed: Number(seed),
          durationMs: Number(minutes) * MS_PER_MINUTE,
          entries: Number(entries),
          workers: Number(workers),
          programFile: values.program,
        }
      : undefined;
  } catch {
    return undefined;
  }
};

const print = (seed: number, report: SoakReport): void => {
  const { faultCounts, violations, logFolder } = report;
  for (const [kind, count] of [...faultCounts].sort()) {
    console.log(`${kind.padEnd(32)} ${String(count)}`);
  }
  console.log(`${'jobs'.padEnd(32)} ${String(report.jobCount)}`);
  console.log(`${'calls checked'.padEnd(32)} ${String(report.callCount)}`);
  const { stopCount, stoppingCallCount } = report;
  console.log(`${'planned stops checked'.padEnd(32)} ${String(stopCount)}`);
  const stopping = String(stoppingCallCount);
  console.log(`${'calls at stopping entries'.padEnd(32)} ${stopping}`);
  console.log(`${'starts checked'.padEnd(32)} ${String(report.startCount)}`);
  console.log(`${'violations'.padEnd(32)} ${String(violations.length)}`);
  for (const { promise, job, detail } of violations.slice(0, MAX_LISTED)) {
    const where = job === '' ? '' : ` for ${job}`;
    console.log(`seed ${String(seed)}: "${promise}" is broken${where}`);
    console.log(`  ${detail}`);
  }
  if (logFolder !== '') {
    console.log(`logs: ${logFolder}`);
  }
};

const options = readOptions();
if (!options) {
  console.error(USAGE);
  process.exit(EXIT_USAGE);
}
const soak = new Soak(options);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void soak.close(false).finally(() => process.exit(EXIT_INTERRUPTED));
  });
}
const report = await soak.run().catch(async (err: unknown) => {
  await soak.close(true);
  throw err;
});
print(options.seed, report);
process.exit(report.violations.length > 0 ? EXIT_BROKEN : 0);
