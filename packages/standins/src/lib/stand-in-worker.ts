/** What a task asks of the stand-in. */
export interface TaskPayload {
  /** Time that the task takes at full speed. */
  readonly ms?: number;
  /** Status to answer with. */
  readonly status?: number;
  /** Cores and memory that the task really uses. */
  readonly cores?: number;
  readonly memoryMb?: number;
}

/** How a task on the stand-in worker ended. */
export enum TaskEnd {
  Done = 'done',
  Stopped = 'stopped',
}

/** Resources that tasks use. */
export interface WorkerUsage {
  readonly cores: number;
  readonly memoryMb: number;
}

/** What the stand-in endpoint has done so far. */
export interface EndpointUsage {
  readonly starts: number;
  /** Time of all tasks together, running ones included. */
  readonly busyMs: number;
}

interface RunningTask {
  readonly payload: TaskPayload;
  /** Work that is left, in milliseconds at full speed. */
  leftMs: number;
  /** Share of the full speed; zero while checkpointed. */
  speed: number;
  sinceMs: number;
  timer: NodeJS.Timeout | undefined;
  readonly end: (how: TaskEnd) => void;
}

interface UsageSample {
  readonly atMs: number;
  readonly usage: WorkerUsage;
}

/** How far the reported usage lags behind. */
const USAGE_LAG_MS = 2000;

/**
 * The stand-in of a worker: runs tasks by waiting, and can stop, throttle or
 * checkpoint one. It reports usage with a lag.
 */
export class StandInWorker {
  private readonly _tasks = new Map<string, RunningTask>();
  private _samples: UsageSample[] = [];
  private _starts = 0;
  private _busyMs = 0;
  private _sinceMs = performance.now();

  /**
   * @param key - Names the task.
   * @param payload - What it asks.
   * @returns How it ended.
   */
  run(key: string, payload: TaskPayload): Promise<TaskEnd> {
    this._advance();
    this._starts += 1;
    return new Promise((resolve) => {
      const task: RunningTask = {
        payload,
        leftMs: payload.ms ?? 0,
        speed: 1,
        sinceMs: performance.now(),
        timer: undefined,
        end: (how) => {
          this._advance();
          clearTimeout(task.timer);
          this._tasks.delete(key);
          this._sample();
          resolve(how);
        },
      };
      this._tasks.set(key, task);
      this._sample();
      this._schedule(task);
    });
  }

  /** @returns Whether the task ran and has been stopped. */
  stop(key: string): boolean {
    const task = this._tasks.get(key);
    task?.end(TaskEnd.Stopped);
    return task !== undefined;
  }

  /**
   * @param key - Names the task.
   * @param speed - Share of the full speed; zero keeps the task as a
   * checkpoint until its speed is raised again.
   * @returns Whether the task runs.
   */
  throttle(key: string, speed: number): boolean {
    const task = this._tasks.get(key);
    if (!task) {
      return false;
    }
    const nowMs = performance.now();
    task.leftMs -= (nowMs - task.sinceMs) * task.speed;
    task.sinceMs = nowMs;
    task.speed = speed;
    this._schedule(task);
    return true;
  }

  /** @returns Usage as the worker reports it, some time behind. */
  reportedUsage(): WorkerUsage {
    const untilMs = performance.now() - USAGE_LAG_MS;
    const seen = this._samples.filter((sample) => sample.atMs <= untilMs);
    return seen.at(-1)?.usage ?? { cores: 0, memoryMb: 0 };
  }

  /** @returns What has been done so far. */
  work(): EndpointUsage {
    this._advance();
    return { starts: this._starts, busyMs: this._busyMs };
  }

  private _schedule(task: RunningTask): void {
    clearTimeout(task.timer);
    if (task.speed > 0) {
      const afterMs = Math.max(0, task.leftMs / task.speed);
      task.timer = setTimeout(() => {
        task.end(TaskEnd.Done);
      }, afterMs);
    }
  }

  private _sample(): void {
    const atMs = performance.now();
    let cores = 0;
    let memoryMb = 0;
    for (const { payload } of this._tasks.values()) {
      cores += payload.cores ?? 0;
      memoryMb += payload.memoryMb ?? 0;
    }
    const keepFromMs = atMs - 2 * USAGE_LAG_MS;
    const kept = this._samples.filter((sample) => sample.atMs >= keepFromMs);
    this._samples = [...kept, { atMs, usage: { cores, memoryMb } }];
  }

  private _advance(): void {
    const nowMs = performance.now();
    this._busyMs += this._tasks.size * (nowMs - this._sinceMs);
    this._sinceMs = nowMs;
  }
}
