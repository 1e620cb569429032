import type {
  BatchContent,
  BatchProgress,
  JobStepContent,
  TaskCrash,
} from '../request/batch-job.js';
import { countTasks } from '../request/job-content.js';

/** A step without its count and its dependencies, without trailing `null`s. */
type PackedShape = readonly [
  cpuMilli: number,
  memoryMb: number,
  accelerators: number,
  estimateMs: number,
  checkpointing: 0 | 1,
  requires?: string | null,
  affinity?: string | null,
  antiAffinity?: number | null,
];

/** A step: its count, the index of its shape, and the steps before it. */
type PackedStep = readonly [
  count: number,
  shape: number,
  /** Ranges, or a list if it holds anything but indexes. */
  after?: string | readonly number[],
];

/** Content of a job in a form that is several times smaller. */
export interface PackedContent extends Omit<BatchContent, 'steps'> {
  /** Distinct steps, without their counts and dependencies. */
  readonly shapes: readonly PackedShape[];
  readonly steps: readonly PackedStep[];
}

type PackedCrash = readonly [
  key: string,
  activeMs: number,
  uncertaintyMs?: number,
];

/** Progress of a job in a smaller form: only what matters to open tasks. */
export interface PackedProgress extends Omit<
  BatchProgress,
  'done' | 'crashes'
> {
  /** Ranges of positions. */
  readonly done: string;
  readonly crashes?: Readonly<Record<string, readonly PackedCrash[]>>;
}

/** What a packed progress keeps of the tasks that are not done. */
export enum ProgressDetail {
  /** Failure counts, numbers of the failed runs and crashes. */
  Full,
  /** Failure counts and numbers of the failed runs. */
  Runs,
  /** Failure counts only. */
  Counts,
}

/**
 * @param numbers - Non-negative whole numbers.
 * @returns Their ascending ranges, e.g. `0-4,7`.
 */
export const formatRanges = (numbers: readonly number[]): string => {
  const ranges: { from: number; to: number }[] = [];
  for (const number of [...new Set(numbers)].sort((a, b) => a - b)) {
    const last = ranges.at(-1);
    if (last?.to === number - 1) {
      last.to = number;
    } else {
      ranges.push({ from: number, to: number });
    }
  }
  return ranges
    .map(({ from, to }) =>
      from === to ? String(from) : `${String(from)}-${String(to)}`,
    )
    .join(',');
};

/** @returns The numbers of {@link formatRanges}, in ascending order. */
export const parseRanges = (text: string): number[] =>
  text === ''
    ? []
    : text.split(',').flatMap((range) => {
        const [from = 0, to = from] = range.split('-').map(Number);
        return Array.from({ length: to - from + 1 }, (_, i) => from + i);
      });

/** @returns The packed form of the content of a job. */
export const packContent = (content: BatchContent): PackedContent => {
  const indexes = new Map<string, number>();
  const shapes: PackedShape[] = [];
  const steps = content.steps.map((step): PackedStep => {
    const shape = toShape(step);
    const text = JSON.stringify(shape);
    const index = indexes.get(text) ?? shapes.length;
    if (index === shapes.length) {
      indexes.set(text, index);
      shapes.push(shape);
    }
    const { count, after } = step;
    if (after.length === 0) {
      return [count, index];
    }
    return [count, index, after.every(isIndex) ? formatRanges(after) : after];
  });
  return { ...content, shapes, steps };
};

/** @returns The content of a job from its packed form. */
export const unpackContent = ({
  shapes,
  ...content
}: PackedContent): BatchContent => ({
  ...content,
  steps: content.steps.map(([count, index, after = '']) => {
    const shape = shapes[index];
    if (!shape) {
      throw new Error(`the row of a job lacks step shape ${String(index)}`);
    }
    return {
      count,
      after: typeof after === 'string' ? parseRanges(after) : after,
      ...fromShape(shape),
    };
  }),
});

/**
 * @param progress - Progress of a job.
 * @param detail - What to keep of the tasks that are not done.
 * @returns Its packed form.
 */
export const packProgress = (
  progress: BatchProgress,
  detail: ProgressDetail,
): PackedProgress => {
  const done = new Set(progress.done.map(String));
  const openOnly = <T, U>(
    record: Readonly<Record<string, T>>,
    pack: (value: T) => U,
  ): Record<string, U> =>
    Object.fromEntries(
      Object.entries(record)
        .filter(([position]) => !done.has(position))
        .map(([position, value]) => [position, pack(value)]),
    );
  const { failures, failedRuns = {}, crashes = {} } = progress;
  return {
    done: formatRanges(progress.done),
    failures: openOnly(failures, (count) => count),
    ...(detail === ProgressDetail.Counts
      ? {}
      : { failedRuns: openOnly(failedRuns, (runs) => runs) }),
    ...(detail === ProgressDetail.Full
      ? { crashes: openOnly(crashes, (list) => list.map(packCrash)) }
      : {}),
  };
};

/** @returns The progress of a job from its packed form. */
export const unpackProgress = (packed: PackedProgress): BatchProgress => {
  const { done, crashes = {}, ...failures } = packed;
  return {
    ...failures,
    done: parseRanges(done),
    crashes: Object.fromEntries(
      Object.entries(crashes).map(([position, list]) => [
        position,
        list.map(unpackCrash),
      ]),
    ),
  };
};

/**
 * @param content - Content of a job.
 * @returns Upper bound of its packed progress with {@link ProgressDetail.Counts},
 *   in bytes.
 */
export const maxProgressBytes = (content: BatchContent): number => {
  const tasks = countTasks(content.steps);
  const digits = String(tasks).length + String(content.attempts).length;
  return PROGRESS_FRAME_BYTES + tasks * (digits + PROGRESS_ENTRY_BYTES);
};

/** Size of a packed progress without tasks, rounded up. */
const PROGRESS_FRAME_BYTES = 64;
/** Characters of a failure count besides its position and its value. */
const PROGRESS_ENTRY_BYTES = 4;

const isIndex = (number: number): boolean =>
  Number.isSafeInteger(number) && number >= 0;

const toShape = (step: JobStepContent): PackedShape => {
  const { needs, requires, affinity, antiAffinity } = step;
  const shape = [
    needs.cpuMilli,
    needs.memoryMb,
    needs.accelerators,
    step.estimateMs,
    step.checkpointing ? 1 : 0,
  ] as const;
  if (antiAffinity !== undefined) {
    return [...shape, requires ?? null, affinity ?? null, antiAffinity];
  }
  if (affinity !== undefined) {
    return [...shape, requires ?? null, affinity];
  }
  return requires === undefined ? shape : [...shape, requires];
};

const fromShape = ([
  cpuMilli,
  memoryMb,
  accelerators,
  estimateMs,
  checkpointing,
  requires = null,
  affinity = null,
  antiAffinity = null,
]: PackedShape): Omit<JobStepContent, 'count' | 'after'> => ({
  needs: { cpuMilli, memoryMb, accelerators },
  estimateMs,
  checkpointing: checkpointing === 1,
  ...(requires === null ? {} : { requires }),
  ...(affinity === null ? {} : { affinity }),
  ...(antiAffinity === null ? {} : { antiAffinity }),
});

const packCrash = ({ key, activeMs, uncertaintyMs }: TaskCrash): PackedCrash =>
  uncertaintyMs === undefined
    ? [key, Math.round(activeMs)]
    : [key, Math.round(activeMs), Math.round(uncertaintyMs)];

const unpackCrash = ([
  key,
  activeMs,
  uncertaintyMs,
]: PackedCrash): TaskCrash => ({
  key,
  activeMs,
  ...(uncertaintyMs === undefined ? {} : { uncertaintyMs }),
});
