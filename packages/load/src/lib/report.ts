import type { DrainResult } from './drain-experiment.js';
import type { LoadResult } from './response-experiment.js';
import type { ThroughputResult } from './throughput-experiment.js';

/** Results of all experiments of one run. */
export interface BenchResult {
  readonly loads: readonly LoadResult[];
  readonly drain: DrainResult | undefined;
  readonly throughput: ThroughputResult | undefined;
}

const WIDTH = 640;
const BAR_HEIGHT = 22;
const LABEL_WIDTH = 190;
const VALUE_WIDTH = 80;

interface Bar {
  readonly label: string;
  readonly value: number;
  readonly unit: string;
}

/**
 * Formats results for a terminal.
 *
 * @param result - Results of a run.
 * @returns One line for each experiment.
 */
export const textTable = (result: BenchResult): string => {
  const lines = result.loads.map(
    (r) =>
      `load ${String(r.load)}: ${String(r.measured.count)} jobs, mean ${ms(r.measured.meanMs)} / ideal ${ms(r.reference.meanMs)} = ${r.meanRatio.toFixed(3)}, p99 ${ms(r.measured.p99Ms)} / ideal ${ms(r.reference.p99Ms)}, urgent p99 ratio ${r.urgentP99Ratio.toFixed(3)}, waste ${(r.wasteRatio * 100).toFixed(1)} % ${JSON.stringify(r.wasted)}, failed ${String(r.failed)}`,
  );
  const d = result.drain;
  if (d) {
    lines.push(
      `data centre drained: ${percent(d.usedWhileOut)} of the other slots used, ${String(d.lateStarts)} late starts, ticket reply after ${ms(d.ticketMs)}; returned: ${percent(d.usedAfterReturn)} of all slots used; failed ${String(d.failedJobs)}`,
    );
  }
  const t = result.throughput;
  if (t) {
    lines.push(
      `one entry: ${t.entryStartsPerSecond.toFixed(0)} starts/s, bare stream ${t.bareTasksPerSecond.toFixed(0)} tasks/s, ratio ${t.ratio.toFixed(3)}, entry CPU ${t.entryCpuUsPerTask.toFixed(1)} µs/task`,
    );
  }
  return lines.join('\n');
};

/**
 * Renders results as a self-contained page.
 *
 * @param result - Results of a run.
 * @returns HTML with bar charts in SVG.
 */
export const htmlReport = (result: BenchResult): string => {
  const charts = result.loads.map((r) =>
    chart(`Response time of jobs at load ${String(r.load)}`, [
      { label: 'mean, ideal', value: r.reference.meanMs, unit: 'ms' },
      { label: 'mean, measured', value: r.measured.meanMs, unit: 'ms' },
      { label: 'median, ideal', value: r.reference.p50Ms, unit: 'ms' },
      { label: 'median, measured', value: r.measured.p50Ms, unit: 'ms' },
      { label: 'p99, ideal', value: r.reference.p99Ms, unit: 'ms' },
      { label: 'p99, measured', value: r.measured.p99Ms, unit: 'ms' },
    ]),
  );
  const t = result.throughput;
  if (t) {
    charts.push(
      chart('Task starts per second', [
        { label: 'one entry', value: t.entryStartsPerSecond, unit: '/s' },
        { label: 'bare stream', value: t.bareTasksPerSecond, unit: '/s' },
      ]),
    );
  }
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>sapphiremux bench</title><body style="font-family:sans-serif">${charts.join('')}<pre>${textTable(result)}</pre></body></html>\n`;
};

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`;

const ms = (value: number): string => `${value.toFixed(0)} ms`;

const chart = (title: string, bars: readonly Bar[]): string => {
  const maximum = Math.max(...bars.map((bar) => bar.value));
  const barSpace = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  const rows = bars.map(({ label, value, unit }, index) => {
    const y = index * BAR_HEIGHT;
    const width = (value / maximum) * barSpace;
    const end = LABEL_WIDTH + width + 6;
    const color = label.includes('ideal') ? '#9bb' : '#27c';
    return `<text x="0" y="${String(y + 15)}">${label}</text><rect x="${String(LABEL_WIDTH)}" y="${String(y + 3)}" width="${width.toFixed(1)}" height="16" fill="${color}"/><text x="${end.toFixed(1)}" y="${String(y + 15)}">${value.toFixed(0)} ${unit}</text>`;
  });
  const height = String(bars.length * BAR_HEIGHT);
  return `<h2>${title}</h2><svg width="${String(WIDTH)}" height="${height}" font-size="13">${rows.join('')}</svg>`;
};
