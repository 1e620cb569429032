// Runs the experiments of a scenario, prints their figures and writes
// `bench.html` and `bench.jsonl` to the directory `--out`. `--quick` selects the
// small scenario and skips the drain experiment; `--throughput-only` runs only
// the throughput experiment.
import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { runDrainExperiment } from '../lib/drain-experiment.js';
import { htmlReport, textTable } from '../lib/report.js';
import { runResponseExperiment } from '../lib/response-experiment.js';
import { readScenario } from '../lib/scenario.js';
import { runThroughputExperiment } from '../lib/throughput-experiment.js';

const { values } = parseArgs({
  options: {
    quick: { type: 'boolean', default: false },
    scenario: { type: 'string' },
    'throughput-only': { type: 'boolean', default: false },
    out: { type: 'string', default: 'out' },
  },
});

const scenarioFile = (name: string): string =>
  fileURLToPath(new URL(`../../scenarios/${name}.toml`, import.meta.url));

const file =
  values.scenario ?? scenarioFile(values.quick ? 'quick' : 'levy-desk');
const scenario = await readScenario(file);

const loads = values['throughput-only']
  ? []
  : await runResponseExperiment(scenario);
const drain =
  values.quick || values['throughput-only']
    ? undefined
    : await runDrainExperiment(scenario.seed);
const throughput = await runThroughputExperiment({
  seconds: values.quick ? 3 : 10,
  runners: 3,
  tasksPerJob: 100,
  concurrency: 64,
});
const result = { loads, drain, throughput };

console.log(textTable(result));
await mkdir(values.out, { recursive: true });
await writeFile(`${values.out}/bench.html`, htmlReport(result));
await writeFile(
  `${values.out}/bench.jsonl`,
  [...loads, drain ?? {}, throughput]
    .map((line) => `${JSON.stringify(line)}\n`)
    .join(''),
);
const figures: Record<string, number> = {
  entryStartsPerSecond: Math.round(throughput.entryStartsPerSecond),
  bareStreamRatio: Number(throughput.ratio.toFixed(3)),
};
if (drain) {
  figures.usedWhileOut = Number(drain.usedWhileOut.toFixed(3));
  figures.usedAfterReturn = Number(drain.usedAfterReturn.toFixed(3));
  figures.lateStarts = drain.lateStarts;
}
for (const { load, meanRatio, urgentP99Ratio, wasteRatio } of loads) {
  figures[`meanRatioAt${String(load)}`] = Number(meanRatio.toFixed(3));
  figures[`urgentP99RatioAt${String(load)}`] = Number(
    urgentP99Ratio.toFixed(3),
  );
  figures[`wasteRatioAt${String(load)}`] = Number(wasteRatio.toFixed(4));
}
console.log(JSON.stringify(figures));
