import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { FleetCluster } from '../platform/fleet-cluster.js';
import { Callers } from './callers.js';
import { checkJobs } from './checks.js';
import { Disturbances } from './disturbances.js';
import { FaultInjector } from './fault-injector.js';
import type { Violation } from './job-record.js';
import { PlannedStops } from './planned-stops.js';
import { SeededRandom, planFaults } from './plan.js';
import type { Fault, PlanOptions } from './plan.js';

/** Options of {@link Soak}. */
export interface SoakOptions extends PlanOptions {
  /** The bundled program; by default the one that the build has written. */
  readonly programFile?: string | undefined;
}

/** Result of a run. */
export interface SoakReport {
  readonly faultCounts: ReadonlyMap<string, number>;
  readonly jobCount: number;
  /** Number of calls whose replies were checked. */
  readonly callCount: number;
  /** Number of calls that ended while their entry was stopping as planned. */
  readonly stoppingCallCount: number;
  /** Number of planned stops that no pause has exempted. */
  readonly stopCount: number;
  readonly startCount: number;
  readonly violations: readonly Violation[];
  /** Folder of the logs; empty if no promise was broken. */
  readonly logFolder: string;
}

/** Time for the workers to register before the traffic starts. */
const REGISTRATION_MS = 1500;
/** Time for accepted jobs to end after the last fault (`finish_s`). */
const FINISH_MS = 14_000;

/** Runs real processes under seeded faults, and checks what they promise. */
export class Soak {
  private readonly _options: SoakOptions;
  private readonly _folder = mkdtempSync(join(tmpdir(), 'sapphiremux-soak-'));
  private readonly _log = createWriteStream(join(this._folder, 'soak.log'));
  private readonly _exits: Violation[] = [];
  private readonly _stops = new PlannedStops();
  private readonly _cluster: FleetCluster;
  private readonly _callers: Callers;
  private readonly _faults: FaultInjector;
  private _isClosed = false;

  /** @param options - Seed, duration and numbers of processes. */
  constructor(options: SoakOptions) {
    this._options = options;
    const { entries, workers, seed, programFile } = options;
    this._cluster = new FleetCluster({
      entries,
      workers,
      programFile,
      onLine: (name, line) => {
        this._writeLine(`${name} ${line}`);
      },
      onExit: (name, child) => {
        this._checkExit(name, child);
      },
    });
    const disturbances = new Disturbances();
    this._callers = new Callers({
      cluster: this._cluster,
      entries,
      // Independent of the numbers that the plan uses.
      random: new SeededRandom(seed + 1),
      disturbances,
      stops: this._stops,
      log: (event, fields) => {
        this._writeEvent(event, fields);
      },
    });
    this._faults = new FaultInjector(
      this._cluster,
      this._callers,
      disturbances,
      this._stops,
    );
  }

  /**
   * Runs until the faults and the jobs have ended.
   *
   * @returns What was done and which promises were broken.
   */
  async run(): Promise<SoakReport> {
    await this._cluster.start();
    await delay(REGISTRATION_MS);
    const submitting = this._callers.submitJobs();
    const faultCounts = await this._injectFaults();
    this._callers.stop();
    await submitting;
    await this._faults.settle();
    await this._callers.waitForJobs(FINISH_MS);
    const starts = [
      ...this._faults.startsOfCrashed,
      ...this._cluster.workers.flatMap((worker) => worker.starts),
    ];
    const { jobs, violations, checkedCount, stoppingCount } = this._callers;
    const allViolations = [
      ...this._stops.violations,
      ...violations,
      ...this._exits,
      ...checkJobs(starts, jobs),
    ];
    for (const start of starts) {
      this._writeEvent('start', start);
    }
    for (const violation of allViolations) {
      this._writeEvent('violation', violation);
    }
    await this.close(allViolations.length > 0);
    return {
      faultCounts,
      jobCount: jobs.size,
      callCount: checkedCount,
      stoppingCallCount: stoppingCount,
      stopCount: this._stops.checkedCount,
      startCount: starts.length,
      violations: allViolations,
      logFolder: allViolations.length > 0 ? this._folder : '',
    };
  }

  /**
   * Ends all processes.
   *
   * @param keepsLogs - Whether the logs are kept.
   */
  async close(keepsLogs: boolean): Promise<void> {
    this._isClosed = true;
    await this._cluster.close();
    await new Promise<void>((resolve) => {
      this._log.end(resolve);
    });
    if (!keepsLogs) {
      rmSync(this._folder, { recursive: true, force: true });
    }
  }

  private async _injectFaults(): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    const startedAtMs = Date.now();
    const waitUntil = (atMs: number): Promise<void> =>
      delay(Math.max(0, startedAtMs + atMs - Date.now()));
    for (const { atMs, fault } of planFaults(this._options)) {
      await waitUntil(atMs);
      const label = labelOf(fault);
      counts.set(label, (counts.get(label) ?? 0) + 1);
      this._writeEvent('fault', fault);
      this._faults.inject(fault);
    }
    await waitUntil(this._options.durationMs);
    return counts;
  }

  private _checkExit(name: string, child: ChildProcess): void {
    if (!this._isClosed && !this._faults.expectedExits.has(child)) {
      const detail = `${name}: ${String(child.exitCode ?? child.signalCode)}`;
      this._exits.push({
        promise: 'no process ends by itself',
        job: '',
        detail,
      });
      this._faults.restartEnded(name);
    }
  }

  private _writeEvent(event: string, fields: object): void {
    const atMs = Date.now();
    this._writeLine(`soak ${JSON.stringify({ atMs, event, ...fields })}`);
  }

  private _writeLine(line: string): void {
    if (!this._isClosed) {
      this._log.write(`${line}\n`);
    }
  }
}

const labelOf = (fault: Fault): string => {
  switch (fault.kind) {
    case 'kill':
    case 'planned-stop':
    case 'pause':
      return `${fault.kind} ${fault.role}`;
    case 'store':
      return `store ${fault.mode}`;
    case 'abandoned-calls':
    case 'unread-submissions':
      return `${fault.kind} ${fault.how}`;
    case 'configuration':
    case 'lost-replies':
    case 'failing-runs':
    case 'worker-crash':
      return fault.kind;
  }
};
