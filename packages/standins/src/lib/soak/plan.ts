import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { TableStoreMode } from '../platform/table-store.js';

/** Role of a process. */
export type Role = 'entry' | 'worker';

/** How a caller abandons a call. */
export type Disconnection = 'close' | 'reset';

/** A fault, with durations in milliseconds. */
export type Fault =
  | {
      readonly kind: 'kill' | 'planned-stop' | 'pause';
      readonly role: Role;
      readonly index: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'store';
      readonly mode: TableStoreMode;
      readonly durationMs: number;
    }
  | { readonly kind: 'configuration'; readonly step: number }
  | {
      readonly kind: 'lost-replies' | 'failing-runs' | 'worker-crash';
      readonly index: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'abandoned-calls';
      readonly index: number;
      readonly how: Disconnection;
    }
  | {
      /** Callers abandon submissions to an entry that is paused meanwhile. */
      readonly kind: 'unread-submissions';
      readonly index: number;
      readonly how: Disconnection;
      readonly count: number;
      readonly durationMs: number;
    };

/** A fault and its time since the start of the traffic. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** Numbers that decide what a seed yields. */
export interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  readonly workers: number;
}

/** Random numbers from a seed. */
export class SeededRandom {
  private readonly _generator;

  /** @param seed - An integer. */
  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  /** @returns An integer from `min` to `max`, both included. */
  integer(min: number, max: number): number {
    return uniformInt(this._generator, min, max);
  }

  /** @returns True with a probability from 0 to 1. */
  chance(probability: number): boolean {
    return uniformFloat64(this._generator) < probability;
  }

  /** @returns One of the items. */
  pick<T>(items: readonly [T, ...T[]]): T {
    return items[this.integer(0, items.length - 1)] ?? items[0];
  }
}

const FIRST_FAULT_MS = 1000;
const MAX_SERIES_GAP_MS = 1600;
const MAX_SERIES_LENGTH = 4;
const MAX_GAP_IN_SERIES_MS = 900;
const MAX_STORE_FAULT_MS = 2500;
const MAX_PAUSE_MS = 3000;
/** Pauses of entries with unread submissions stay below their time limits. */
const MAX_UNREAD_PAUSE_MS = 700;

/** Series of all faults and waves of planned stops take turns in a run. */
const SERIES_MS = 12_000;
const WAVE_MS = 12_000;
const LAST_STOP_IN_WAVE_MS = 6000;
const MAX_STOP_GAP_MS = 2500;
/** A planned stop of a busy entry takes 5.5 s; store faults begin before its end. */
const STOP_END_MS = { min: 3500, max: 5600 } as const;

/**
 * @param options - Seed and sizes.
 * @returns Series of faults, which overlap, and between them waves of planned
 * stops, in the order of their times.
 */
export const planFaults = (options: PlanOptions): PlannedFault[] => {
  const random = new SeededRandom(options.seed);
  const cycleMs = SERIES_MS + WAVE_MS;
  const planned = planSeries(random, options).filter(
    ({ atMs }) => atMs % cycleMs < SERIES_MS,
  );
  for (let atMs = SERIES_MS; atMs < options.durationMs; atMs += cycleMs) {
    planned.push(...planStopWave(random, atMs, options));
  }
  return planned
    .filter(({ atMs }) => atMs < options.durationMs)
    .sort((a, b) => a.atMs - b.atMs);
};

const planSeries = (
  random: SeededRandom,
  options: PlanOptions,
): PlannedFault[] => {
  const planned: PlannedFault[] = [];
  let seriesAtMs = FIRST_FAULT_MS;
  while (seriesAtMs < options.durationMs) {
    const kind = random.pick(FAULT_KINDS);
    let atMs = seriesAtMs;
    for (let i = random.integer(1, MAX_SERIES_LENGTH); i > 0; i -= 1) {
      planned.push({ atMs, fault: createFault(kind, random, options) });
      atMs += random.integer(0, MAX_GAP_IN_SERIES_MS);
    }
    seriesAtMs += random.integer(0, MAX_SERIES_GAP_MS);
  }
  return planned;
};

/**
 * Plans stops of all entries, one after another or the first two at once, and
 * of some worker drivers. Most ends of the stops meet a fault of the store. No
 * fault but a rare pause disturbs a process that stops.
 */
const planStopWave = (
  random: SeededRandom,
  waveAtMs: number,
  options: PlanOptions,
): PlannedFault[] => {
  const planned: PlannedFault[] = [];
  const at = (offsetMs: number, fault: Fault): void => {
    planned.push({ atMs: waveAtMs + offsetMs, fault });
  };
  const durationMs = (): number => random.integer(100, MAX_PAUSE_MS);
  const first = random.integer(0, options.entries - 1);
  const arePaired = random.chance(0.5);
  let offsetMs = random.integer(0, 1000);
  for (let i = 0; i < options.entries; i += 1) {
    const index = (first + i) % options.entries;
    const kind = 'planned-stop';
    at(offsetMs, { kind, role: 'entry', index, durationMs: durationMs() });
    if (random.chance(0.8)) {
      const endMs = random.integer(STOP_END_MS.min, STOP_END_MS.max);
      at(offsetMs + endMs, createFault('store', random, options));
    }
    if (random.chance(0.3)) {
      at(offsetMs, createFault('configuration', random, options));
    }
    const gapMs = random.integer(0, MAX_STOP_GAP_MS);
    const nextMs = arePaired && i === 0 ? offsetMs : offsetMs + gapMs;
    offsetMs = Math.min(nextMs, LAST_STOP_IN_WAVE_MS);
  }
  if (random.chance(0.5)) {
    // The last entry has not begun to stop yet when it is paused.
    const index = (first + options.entries - 1) % options.entries;
    at(0, { kind: 'pause', role: 'entry', index, durationMs: durationMs() });
  }
  for (let i = random.integer(0, 2); i > 0; i -= 1) {
    const index = random.integer(0, options.workers - 1);
    const kind = random.pick<'planned-stop' | 'pause'>([
      'planned-stop',
      'pause',
    ]);
    at(random.integer(0, LAST_STOP_IN_WAVE_MS), {
      kind,
      role: 'worker',
      index,
      durationMs: durationMs(),
    });
  }
  return planned;
};

const FAULT_KINDS = [
  'kill',
  'planned-stop',
  'pause',
  'store',
  'configuration',
  'lost-replies',
  'failing-runs',
  'worker-crash',
  'abandoned-calls',
  'unread-submissions',
] as const satisfies readonly Fault['kind'][];

const createFault = (
  kind: Fault['kind'],
  random: SeededRandom,
  { entries, workers }: PlanOptions,
): Fault => {
  const how = random.pick<Disconnection>(['close', 'reset']);
  switch (kind) {
    case 'kill':
    case 'planned-stop':
    case 'pause': {
      const role = random.pick<Role>(['entry', 'worker']);
      const count = role === 'entry' ? entries : workers;
      const index = random.integer(0, count - 1);
      const durationMs = random.integer(100, MAX_PAUSE_MS);
      return { kind, role, index, durationMs };
    }
    case 'store': {
      const mode = random.pick([
        TableStoreMode.Unavailable,
        TableStoreMode.Unresponsive,
        TableStoreMode.Slow,
        TableStoreMode.LosingReplies,
      ]);
      return {
        kind,
        mode,
        durationMs: random.integer(200, MAX_STORE_FAULT_MS),
      };
    }
    case 'configuration':
      return { kind, step: random.integer(1, 5) };
    case 'lost-replies':
    case 'failing-runs':
    case 'worker-crash': {
      const index = random.integer(0, workers - 1);
      return { kind, index, durationMs: random.integer(200, 2000) };
    }
    case 'abandoned-calls':
      return { kind, index: random.integer(0, entries - 1), how };
    case 'unread-submissions': {
      const index = random.integer(0, entries - 1);
      const durationMs = random.integer(150, MAX_UNREAD_PAUSE_MS);
      return { kind, index, how, count: random.integer(1, 4), durationMs };
    }
  }
};
