/** One line of a process log. */
export interface LogLine {
  /** ISO 8601 time. */
  readonly time: string;
  /** Process that wrote the line. */
  readonly name: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log lines and findings about one job. */
export interface JobReport {
  /** Lines that name the job, and context lines of the processes it used. */
  readonly lines: readonly LogLine[];
  /** Conclusions about the outcome and its causes, one sentence each. */
  readonly findings: readonly string[];
}

/** Messages about a process that can explain the outcome of its jobs. */
const CONTEXT_MESSAGES = new Set([
  'entry lost',
  'incarnation begun',
  'leaving',
  'left',
  'lease let go',
  'lease to lapse before an end is acknowledged',
  'link to worker lost',
  'pause suspected',
  'planned stop',
  'planned stop complete',
  'runs lapsed at a silent worker',
  'standing down',
  'store lost',
  'store regained',
  'tenure gained',
  'tenure lost',
  'worker answers again',
  'worker changed state',
  'worker does not answer',
  'worker incarnation gone',
  'worker set aside',
  'worker silent, link replaced',
]);
/** Context lines are included from this long before the job's first line. */
const CONTEXT_BEFORE_MS = 3000;

/**
 * Parses a log. Text before the JSON of a line is ignored, and lines without
 * valid JSON are skipped.
 *
 * @param text - Content of a log.
 * @returns The parsed lines in their order.
 */
export const parseLog = (text: string): LogLine[] =>
  text.split('\n').flatMap((line) => {
    const jsonStart = line.indexOf('{');
    if (jsonStart < 0) {
      return [];
    }
    try {
      const data = JSON.parse(line.slice(jsonStart)) as Record<string, unknown>;
      const { time, name, message, ...fields } = data;
      return typeof time === 'string' && typeof message === 'string'
        ? [{ time, name: asText(name), message, fields }]
        : [];
    } catch {
      // Lines of other programs and lines that were cut short.
      return [];
    }
  });

/**
 * Reconstructs from logs how a job ran and why it ended as it did.
 *
 * @param log - Lines of all processes.
 * @param id - Id of the job.
 * @returns The relevant lines in order of time, and the findings.
 */
export const explainJob = (log: readonly LogLine[], id: string): JobReport => {
  const jobLines = log.filter((line) => namesJob(line, id));
  const times = jobLines.map((line) => Date.parse(line.time));
  const fromMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const toMs = Math.max(...times);
  const processes = new Set(jobLines.flatMap(processesOf));
  const context = log.filter((line) => {
    const atMs = Date.parse(line.time);
    return (
      CONTEXT_MESSAGES.has(line.message) &&
      atMs >= fromMs &&
      atMs <= toMs &&
      (processes.has(line.name) || processes.has(asText(line.fields.worker)))
    );
  });
  const lines = [...jobLines, ...context].sort(
    (a, b) => Date.parse(a.time) - Date.parse(b.time),
  );
  return { lines, findings: findingsOf(jobLines, id) };
};

const findingsOf = (jobLines: readonly LogLine[], id: string): string[] => {
  if (jobLines.length === 0) {
    return [
      `no line names ${id}: the job reached none of the entries whose logs were given`,
    ];
  }
  return [
    ...jobLines.flatMap(endFindings),
    ...placementFindings(jobLines),
    ...jobLines.flatMap(runFindings),
    ...jobLines.flatMap((line) => crashFindings(line, id)),
    ...refusalFindings(jobLines),
    ...openJobFindings(jobLines),
  ];
};

const endFindings = ({ name, message, fields }: LogLine): string[] => {
  switch (message) {
    case 'job ended':
      return [
        `${name}: ended as ${text(fields, 'state')} after ${text(fields, 'tookMs')} ms`,
      ];
    case 'job refused':
      return [
        `${name}: refused for ${text(fields, 'reason')}; no task has run`,
      ];
    case 'job abandoned':
      return [
        `${name}: abandoned, ${text(fields, 'reason')}, after ${text(fields, 'ageMs')} ms`,
      ];
    case 'tasks given up, they crash workers':
      return [
        `${name}: failed, since a task crashes the workers that start it: ${text(fields, 'names')}`,
      ];
    case 'job lost to another owner':
      return [`${name}: taken over by another entry`];
    default:
      return [];
  }
};

const placementFindings = (jobLines: readonly LogLine[]): string[] => {
  const placements = jobLines.filter((line) => line.message === 'runs placed');
  const last = placements.at(-1);
  if (!last) {
    return [];
  }
  const runs = placements.flatMap(({ fields }) =>
    text(fields, 'runs').split(' '),
  );
  // A run is logged as `TASK#RUN@WORKER`; runs of a task are counted from 1.
  const restarts = runs.filter((run) => !run.includes('#1@')).length;
  return [
    `${String(runs.length)} runs placed, ${String(restarts)} of them restarts; the last placed after ${text(last.fields, 'waitedMs')} ms`,
  ];
};

const runFindings = ({ name, message, fields }: LogLine): string[] => {
  const run = `${text(fields, 'task')} #${text(fields, 'run')}`;
  switch (message) {
    case 'run ended early':
      return [
        `${run} ended ${text(fields, 'how')} at ${text(fields, 'worker')}`,
      ];
    case 'run given up':
      return [
        `${run} abandoned: ${text(fields, 'worker')} unresponsive for ${text(fields, 'silentMs')} ms`,
      ];
    case 'run stopped, it stands still':
      return [
        `${run} stopped at ${text(fields, 'worker')}: stalled, still running after ${text(fields, 'sinceMs')} ms with a limit of ${text(fields, 'limitMs')} ms`,
      ];
    case 'run takes long':
      return [
        `${run} takes long at ${text(fields, 'worker')}, which completes other runs: still running after ${text(fields, 'sinceMs')} ms`,
      ];
    case 'run stopped, it takes too long':
      return [
        `${run} stopped at ${text(fields, 'worker')}: long, still running after ${text(fields, 'sinceMs')} ms with a limit of ${text(fields, 'limitMs')} ms`,
      ];
    case 'run stopped, its owner is silent':
      return [
        `${run} stopped at ${name}: message from its entry overdue by ${text(fields, 'overdueMs')} ms`,
      ];
    case 'start without an answer':
      return [
        `${run} sent ${text(fields, 'attempt')} times to the worker of ${name} without a response`,
      ];
    default:
      return [];
  }
};

/**
 * Names the runs of the job that were active when a worker crashed. Entries log
 * the crash as well; only the line of the process beside the worker has the runs
 * with their ages.
 */
const crashFindings = (
  { name, message, fields }: LogLine,
  id: string,
): string[] => {
  if (message !== 'worker crashed' || text(fields, 'worker') !== '') {
    return [];
  }
  const runs = text(fields, 'names')
    .split(' ')
    .filter((run) => run.startsWith(`${id}.`));
  return [
    `worker of ${name} crashed with ${text(fields, 'runs')} active runs, of this job ${runs.join(' ')}`,
  ];
};

/**
 * Counts refused starts by reason and worker. Entries and worker driver
 * processes both log a refused start; only the entry's line names the worker.
 */
const refusalFindings = (jobLines: readonly LogLine[]): string[] => {
  const counts = new Map<string, number>();
  for (const { message, fields } of jobLines) {
    const worker = text(fields, 'worker');
    if (message === 'start refused' && worker !== '') {
      const key = `${text(fields, 'reason')} at ${worker}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return [...counts].map(
    ([key, count]) => `${String(count)} starts refused, ${key}`,
  );
};

/**
 * Reports jobs that were accepted more than once and jobs without an end. The
 * latter are still open, or their entry stopped before it recorded the end.
 */
const openJobFindings = (jobLines: readonly LogLine[]): string[] => {
  const accepted = jobLines.filter((line) => line.message === 'job accepted');
  const hasEnd = jobLines.some((line) => endFindings(line).length > 0);
  const entries = [...new Set(accepted.map((line) => line.name))];
  const findings: string[] = [];
  if (accepted.length > 1) {
    findings.push(
      `accepted ${String(accepted.length)} times: its caller submitted it again at ${entries.join(', ')}`,
    );
  }
  if (accepted.length > 0 && !hasEnd) {
    findings.push(
      `no end logged: look for "incarnation begun" of ${entries.join(', ')} after the last line`,
    );
  }
  return findings;
};

/** Tells whether a line names the job or one of its tasks (`JOB.…`). */
const namesJob = ({ fields }: LogLine, id: string): boolean =>
  fields.job === id ||
  asText(fields.task).startsWith(`${id}.`) ||
  asText(fields.names)
    .split(' ')
    .some((name) => name.startsWith(`${id}.`));

/** Lists the process that wrote a line and the workers that the line names. */
const processesOf = ({ name, fields }: LogLine): string[] =>
  [
    name,
    asText(fields.worker),
    ...asText(fields.runs)
      .split(' ')
      .map((run) => run.slice(run.indexOf('@') + 1)),
  ].filter((process) => process !== '');

const text = (fields: LogLine['fields'], key: string): string =>
  asText(fields[key]);

const asText = (value: unknown): string =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : '';
