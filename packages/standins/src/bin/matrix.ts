import { writeFile, readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import {
  Fault,
  Moment,
  Step,
  allCells,
  isPossible,
  runCell,
} from '../lib/sim/matrix.js';
import type { CellResult } from '../lib/sim/matrix.js';

/**
 * Runs every cell of the fault matrix and prints the results as a table.
 * `--write` also replaces the table in the documentation page.
 */

const PAGE = 'docs/FAULTS.md';
const BEGIN = '<!-- matrix begin -->';
const END = '<!-- matrix end -->';

const { values } = parseArgs({
  options: { write: { type: 'boolean', default: false } },
});

const cellText = (results: readonly CellResult[]): string =>
  results.length === 0
    ? 'not possible'
    : results
        .map((result) => {
          if (!result.struck) {
            return 'not reached';
          }
          return result.violations.length === 0 ? 'held' : 'RED';
        })
        .join(' / ');

const results = allCells().filter(isPossible).map(runCell);

const table = (): string => {
  const faults = Object.values(Fault);
  const lines = [
    `| step | ${faults.join(' | ')} |`,
    `| --- |${' --- |'.repeat(faults.length)}`,
  ];
  for (const step of Object.values(Step)) {
    const cells = faults.map((fault) =>
      cellText(
        Object.values(Moment).flatMap((moment) =>
          results.filter(
            ({ cell }) =>
              cell.step === step &&
              cell.fault === fault &&
              cell.moment === moment,
          ),
        ),
      ),
    );
    lines.push(`| ${step} | ${cells.join(' | ')} |`);
  }
  return lines.join('\n');
};

console.log(table());
const red = results.filter((r) => !r.struck || r.violations.length > 0);
for (const { cell, struck, violations } of red) {
  console.log(
    `${cell.fault} ${cell.moment} ${cell.step}: struck ${String(struck)}`,
  );
  for (const { promise, atMs, detail } of violations.slice(0, 3)) {
    console.log(`  ${promise} at ${atMs.toFixed(1)}: ${detail}`);
  }
}
console.log(
  `${String(results.length - red.length)} held, ${String(red.length)} not`,
);
if (values.write) {
  const page = await readFile(PAGE, 'utf8');
  const head = page.slice(0, page.indexOf(BEGIN) + BEGIN.length);
  const tail = page.slice(page.indexOf(END));
  await writeFile(PAGE, `${head}\n\n${table()}\n\n${tail}`);
}
process.exitCode = red.length === 0 ? 0 : 1;
