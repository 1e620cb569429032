import { writeFile, readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import {
  Fault,
  FaultTiming,
  Step,
  allCells,
  isApplicable,
  runCell,
} from '../lib/sim/matrix.js';
import type { CellResult } from '../lib/sim/matrix.js';

/**
 * Runs every cell of the fault matrix and prints the results as a table.
 * `--write` also replaces the table in the documentation page.
 */

const PAGE_FILE = 'docs/FAULTS.md';
const BEGIN_MARKER = '<!-- matrix begin -->';
const END_MARKER = '<!-- matrix end -->';

const { values } = parseArgs({
  options: { write: { type: 'boolean', default: false } },
});

const cellSummary = (results: readonly CellResult[]): string =>
  results.length === 0
    ? 'not possible'
    : results
        .map((result) => {
          if (!result.isInjected) {
            return 'not reached';
          }
          return result.violations.length === 0 ? 'held' : 'RED';
        })
        .join(' / ');

const results = allCells().filter(isApplicable).map(runCell);

const table = (): string => {
  const faults = Object.values(Fault);
  const lines = [
    `| step | ${faults.join(' | ')} |`,
    `| --- |${' --- |'.repeat(faults.length)}`,
  ];
  for (const step of Object.values(Step)) {
    const cells = faults.map((fault) =>
      cellSummary(
        Object.values(FaultTiming).flatMap((timing) =>
          results.filter(
            ({ cell }) =>
              cell.step === step &&
              cell.fault === fault &&
              cell.timing === timing,
          ),
        ),
      ),
    );
    lines.push(`| ${step} | ${cells.join(' | ')} |`);
  }
  return lines.join('\n');
};

console.log(table());
const failedResults = results.filter(
  (r) => !r.isInjected || r.violations.length > 0,
);
for (const { cell, isInjected, violations } of failedResults) {
  console.log(
    `${cell.fault} ${cell.timing} ${cell.step}: fault injected: ${String(isInjected)}`,
  );
  for (const { guarantee, atMs, detail } of violations.slice(0, 3)) {
    console.log(`  ${guarantee} at ${atMs.toFixed(1)}: ${detail}`);
  }
}
console.log(
  `${String(results.length - failedResults.length)} held, ${String(failedResults.length)} not`,
);
if (values.write) {
  const page = await readFile(PAGE_FILE, 'utf8');
  const head = page.slice(0, page.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length);
  const tail = page.slice(page.indexOf(END_MARKER));
  await writeFile(PAGE_FILE, `${head}\n\n${table()}\n\n${tail}`);
}
process.exitCode = failedResults.length === 0 ? 0 : 1;
