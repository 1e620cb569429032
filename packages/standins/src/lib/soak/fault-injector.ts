import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import type { FleetCluster, FleetProcess } from '../platform/fleet-cluster.js';
import type { StartRecord } from '../platform/fleet-worker.js';
import { TableStoreMode } from '../platform/table-store.js';
import type { Callers } from './callers.js';
import type { Disturbances } from './disturbances.js';
import { SeededRandom } from './plan.js';
import type { Fault, Role } from './plan.js';
import type { PlannedStops } from './planned-stops.js';

/** Time after SIGTERM until a process is killed (`grace_s` of the platform). */
const GRACE_MS = 6000;
/** Time after which a stopped process certainly reads nothing. */
const STOP_SIGNAL_MS = 50;

/**
 * Time before a crash from which calls reach the next incarnation of the worker,
 * and longest time after its start until it executes the starts, and after these
 * until it executes the polls.
 */
const HELD_CALLS_MS = 200;
/** Interval in which the platform's workers send their first heartbeat. */
const HEARTBEAT_INTERVAL_MS = 1500;

/** Injects faults into a cluster, and undoes them after their durations. */
export class FaultInjector {
  /** Starts on workers that have crashed. */
  readonly startsOfCrashed: StartRecord[] = [];
  /** Processes that were told to end. */
  readonly expectedExits = new Set<ChildProcess>();
  private readonly _cluster: FleetCluster;
  private readonly _callers: Callers;
  private readonly _disturbances: Disturbances;
  private readonly _stops: PlannedStops;
  private readonly _pending = new Set<Promise<void>>();
  private readonly _restarting = new Set<FleetProcess>();
  private readonly _crashedWorkers = new Set<number>();
  private readonly _pauseCounts = new Map<ChildProcess, number>();
  private _storeFaults = 0;
  private _incarnation = 0;
  private _version = 1;

  /**
   * @param cluster - The cluster.
   * @param callers - Callers of the entries.
   * @param disturbances - Records when faults are at work.
   * @param stops - Checks planned stops.
   */
  constructor(
    cluster: FleetCluster,
    callers: Callers,
    disturbances: Disturbances,
    stops: PlannedStops,
  ) {
    this._cluster = cluster;
    this._callers = callers;
    this._disturbances = disturbances;
    this._stops = stops;
  }

  /** @param fault - Begins now. */
  inject(fault: Fault): void {
    const work = this._inject(fault);
    this._pending.add(work);
    void work.finally(() => this._pending.delete(work));
  }

  /** Restarts a process that has ended by itself. */
  restartEnded(name: string): void {
    const [role = '', index] = name.split('-');
    if (role === 'entry' || role === 'worker') {
      const fault = { role, index: Number(index), durationMs: 0 } as const;
      this.inject({ kind: 'kill', ...fault });
    }
  }

  /** Waits until all faults are undone. */
  async settle(): Promise<void> {
    while (this._pending.size > 0) {
      await Promise.all(this._pending);
    }
  }

  private async _inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'planned-stop':
        return this._restart(fault);
      case 'pause': {
        const process = this._find(fault.role, fault.index);
        const resume = this._pause(process);
        await delay(fault.durationMs);
        resume();
        return;
      }
      case 'store':
        return this._disturbStore(fault.mode, fault.durationMs);
      case 'configuration':
        this._version += fault.step;
        this._cluster.configure(this._version);
        return;
      case 'lost-replies':
      case 'failing-runs': {
        const worker = this._cluster.workers[fault.index];
        const flag =
          fault.kind === 'lost-replies' ? 'losesStartReplies' : 'failsAllRuns';
        if (worker) {
          worker[flag] = true;
          await delay(fault.durationMs);
          worker[flag] = false;
        }
        return;
      }
      case 'worker-crash':
        return this._crashWorker(fault.index, fault.durationMs);
      case 'abandoned-calls': {
        const { name } = this._find('entry', fault.index);
        const end = this._disturbances.begin(name);
        this._callers.abandon(fault.index, fault.how);
        end();
        return;
      }
      case 'unread-submissions':
        return this._abandonUnread(fault);
    }
  }

  private _find(role: Role, index: number): FleetProcess {
    return this._cluster.processOf(role, index);
  }

  private async _restart(
    fault: Extract<Fault, { kind: 'kill' | 'planned-stop' | 'pause' }>,
  ): Promise<void> {
    const process = this._find(fault.role, fault.index);
    if (this._restarting.has(process)) {
      return;
    }
    this._restarting.add(process);
    const isPlanned = fault.kind === 'planned-stop';
    const { child } = process;
    this.expectedExits.add(child);
    let end: (() => void) | undefined;
    if (isPlanned) {
      await this._stop(process, fault.index);
    } else {
      end = this._disturbances.begin(process.name);
      await kill(child);
    }
    end ??= this._disturbances.begin(process.name, true);
    await delay(fault.durationMs);
    this._cluster.restart(fault.role, fault.index);
    this._restarting.delete(process);
    end();
  }

  /** Sends SIGTERM, and SIGKILL at the end of the grace. */
  private async _stop(process: FleetProcess, index: number): Promise<void> {
    const { child, name, role } = process;
    if (hasEnded(child)) {
      return;
    }
    const exited = once(child, 'exit');
    const end = this._stops.begin(
      name,
      role === 'entry' ? this._cluster.readyUrl(index) : undefined,
    );
    child.kill('SIGTERM');
    const grace = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    await exited;
    clearTimeout(grace);
    end(child.signalCode === 'SIGKILL');
  }

  /**
   * Pauses a process. One that several faults pause goes on when the last ends.
   *
   * @returns Resumes the process when called.
   */
  private _pause({ child, name }: FleetProcess): () => void {
    const ends = [this._disturbances.begin(name), this._stops.beginPause(name)];
    this._pauseCounts.set(child, (this._pauseCounts.get(child) ?? 0) + 1);
    child.kill('SIGSTOP');
    return () => {
      this._resume(child);
      for (const end of ends) {
        end();
      }
    };
  }

  private _resume(child: ChildProcess): void {
    const count = (this._pauseCounts.get(child) ?? 1) - 1;
    this._pauseCounts.set(child, count);
    if (count === 0) {
      child.kill('SIGCONT');
    }
  }

  private async _disturbStore(
    mode: TableStoreMode,
    durationMs: number,
  ): Promise<void> {
    const end = this._disturbances.begin('store');
    this._storeFaults += 1;
    this._cluster.store.mode = mode;
    await delay(durationMs);
    this._storeFaults -= 1;
    if (this._storeFaults === 0) {
      this._cluster.store.mode = TableStoreMode.Serving;
    }
    end();
  }

  private async _crashWorker(index: number, downMs: number): Promise<void> {
    const worker = this._cluster.workers[index];
    if (!worker || this._crashedWorkers.has(index)) {
      return;
    }
    this._crashedWorkers.add(index);
    const keepsId = index % 2 === 0;
    worker.holdsStarts = keepsId;
    worker.holdsPolls = keepsId;
    await delay(HELD_CALLS_MS);
    await worker.close();
    this.startsOfCrashed.push(...worker.starts);
    await delay(downMs);
    this._incarnation += 1;
    const id = `i-${String(index)}-${String(this._incarnation)}`;
    const random = new SeededRandom(this._incarnation);
    const next = await this._cluster.replaceWorker(index, {
      ...(keepsId ? {} : { id }),
      firstHeartbeatMs: random.integer(0, HEARTBEAT_INTERVAL_MS),
    });
    this._crashedWorkers.delete(index);
    await delay(random.integer(0, HELD_CALLS_MS));
    await Promise.all(worker.heldStarts.map((req) => next.executeHeld(req)));
    await delay(random.integer(0, HELD_CALLS_MS));
    await Promise.all(worker.heldPolls.map((req) => next.executeHeld(req)));
  }

  private async _abandonUnread(
    fault: Extract<Fault, { kind: 'unread-submissions' }>,
  ): Promise<void> {
    const process = this._find('entry', fault.index);
    if (this._restarting.has(process)) {
      return;
    }
    const resume = this._pause(process);
    await delay(STOP_SIGNAL_MS);
    const { index, count, how } = fault;
    const resend = await this._callers.submitUnread(index, count, how);
    await delay(fault.durationMs);
    // The entry has read nothing, so the callers may send the jobs at once.
    resend();
    resume();
  }
}

const hasEnded = ({ exitCode, signalCode }: ChildProcess): boolean =>
  exitCode !== null || signalCode !== null;

const kill = async (child: ChildProcess): Promise<void> => {
  if (!hasEnded(child)) {
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }
};
