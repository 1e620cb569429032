/** Payload of a task, which controls how the fake worker runs it. */
export interface TaskPayload {
  /** Run time at full speed. */
  readonly ms?: number;
  /** HTTP status of the response. */
  readonly status?: number;
  /** Cores and memory that the task adds to the worker's usage. */
  readonly cores?: number;
  readonly memoryMb?: number;
}

/** How a task on the fake worker ended. */
export enum TaskOutcome {
  Done = 'done',
  Stopped = 'stopped',
}

/** Resource usage of the running tasks. */
export interface WorkerUsage {
  readonly cores: number;
  readonly memoryMb: number;
}

/** Cumulative work of a {@link FakeWorker}, served by the fake endpoint. */
export interface EndpointUsage {
  readonly starts: number;
  /** Total time spent on tasks, including those still running. */
  readonly busyMs: number;
}

interface RunningTask {
  readonly payload: TaskPayload;
  /** Remaining run time at full speed, as of `sinceMs`. */
  remainingMs: number;
  /** Fraction of the full speed; zero while checkpointed. */
  speed: number;
  /** Time of the last change of speed, or of the start. */
  sinceMs: number;
  timer: NodeJS.Timeout | undefined;
  readonly finish: (outcome: TaskOutcome) => void;
}

interface UsageSample {
  readonly atMs: number;
  readonly usage: WorkerUsage;
}

/** Delay of the reported usage behind the actual usage. */
const USAGE_LAG_MS = 2000;

/**
 * Fake worker that simulates each task with a timer. Tasks can be stopped,
 * throttled and checkpointed; resource usage is reported with a delay.
 */
export class FakeWorker {
  private readonly _tasks = new Map<string, RunningTask>();
  private _samples: UsageSample[] = [];
  private _starts = 0;
  private _busyMs = 0;
  private _busyTimeUpdatedAtMs = performance.now();

  /**
   * Starts a task.
   *
   * @param key - Key of the task.
   * @param payload - Run time and resource usage of the task.
   * @returns How the task ended.
   */
  run(key: string, payload: TaskPayload): Promise<TaskOutcome> {
    this._updateBusyTime();
    this._starts += 1;
    return new Promise((resolve) => {
      const task: RunningTask = {
        payload,
        remainingMs: payload.ms ?? 0,
        speed: 1,
        sinceMs: performance.now(),
        timer: undefined,
        finish: (outcome) => {
          this._updateBusyTime();
          clearTimeout(task.timer);
          this._tasks.delete(key);
          this._recordUsage();
          resolve(outcome);
        },
      };
      this._tasks.set(key, task);
      this._recordUsage();
      this._scheduleFinish(task);
    });
  }

  /**
   * Stops a running task.
   *
   * @param key - Key of the task.
   * @returns Whether the task was running.
   */
  stop(key: string): boolean {
    const task = this._tasks.get(key);
    task?.finish(TaskOutcome.Stopped);
    return task !== undefined;
  }

  /**
   * Changes the speed of a running task.
   *
   * @param key - Key of the task.
   * @param speed - Fraction of the full speed; zero checkpoints the task until
   * its speed is raised again.
   * @returns Whether the task is running.
   */
  throttle(key: string, speed: number): boolean {
    const task = this._tasks.get(key);
    if (!task) {
      return false;
    }
    const nowMs = performance.now();
    task.remainingMs -= (nowMs - task.sinceMs) * task.speed;
    task.sinceMs = nowMs;
    task.speed = speed;
    this._scheduleFinish(task);
    return true;
  }

  /** @returns The usage that the worker reports, delayed by 2 s. */
  reportedUsage(): WorkerUsage {
    const untilMs = performance.now() - USAGE_LAG_MS;
    const reportable = this._samples.filter((sample) => sample.atMs <= untilMs);
    return reportable.at(-1)?.usage ?? { cores: 0, memoryMb: 0 };
  }

  /** @returns Number of starts and total busy time. */
  cumulativeUsage(): EndpointUsage {
    this._updateBusyTime();
    return { starts: this._starts, busyMs: this._busyMs };
  }

  private _scheduleFinish(task: RunningTask): void {
    clearTimeout(task.timer);
    if (task.speed > 0) {
      const afterMs = Math.max(0, task.remainingMs / task.speed);
      task.timer = setTimeout(() => {
        task.finish(TaskOutcome.Done);
      }, afterMs);
    }
  }

  private _recordUsage(): void {
    const atMs = performance.now();
    let cores = 0;
    let memoryMb = 0;
    for (const { payload } of this._tasks.values()) {
      cores += payload.cores ?? 0;
      memoryMb += payload.memoryMb ?? 0;
    }
    const keepFromMs = atMs - 2 * USAGE_LAG_MS;
    const recentSamples = this._samples.filter(
      (sample) => sample.atMs >= keepFromMs,
    );
    this._samples = [...recentSamples, { atMs, usage: { cores, memoryMb } }];
  }

  private _updateBusyTime(): void {
    const nowMs = performance.now();
    this._busyMs += this._tasks.size * (nowMs - this._busyTimeUpdatedAtMs);
    this._busyTimeUpdatedAtMs = nowMs;
  }
}
