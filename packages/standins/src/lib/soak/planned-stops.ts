import { setTimeout as delay } from 'node:timers/promises';
import { openCall } from '../platform/desk-client.js';
import { FLEET_HOST } from '../platform/fleet-settings.js';
import type { Violation } from './job-record.js';

const HTTP_OK = 200;
/** Time from SIGTERM until a process must have handled it. */
const SIGNAL_MS = 200;
const PROBE_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 500;
/** Time after an exit in which closed connections may be noticed. */
const CLOSE_NOTICE_MS = 1000;

interface Stop {
  readonly name: string;
  readonly signalledAtMs: number;
  /** Infinite until the process has ended. */
  endedAtMs: number;
  /** Whether the process was paused meanwhile, which exempts it from bounds. */
  isPaused: boolean;
}

/** Checks planned stops from what callers and the sender of the signal see. */
export class PlannedStops {
  readonly violations: Violation[] = [];
  private readonly _stops: Stop[] = [];
  private readonly _pauses = new Map<string, number>();

  /** Number of planned stops that no pause has exempted. */
  get checkedCount(): number {
    return this._stops.filter(({ isPaused }) => !isPaused).length;
  }

  /**
   * Notes that a process receives SIGTERM now.
   *
   * @param name - Name of the process.
   * @param readyUrl - URL of its readiness check; `undefined` if it has none.
   * @returns Called when the process has ended, with whether it was killed at
   * the end of its grace.
   */
  begin(
    name: string,
    readyUrl: string | undefined,
  ): (wasKilled: boolean) => void {
    const stop: Stop = {
      name,
      signalledAtMs: Date.now(),
      endedAtMs: Number.POSITIVE_INFINITY,
      isPaused: (this._pauses.get(name) ?? 0) > 0,
    };
    this._stops.push(stop);
    if (readyUrl !== undefined) {
      void this._probe(stop, readyUrl);
    }
    return (wasKilled) => {
      stop.endedAtMs = Date.now();
      if (wasKilled && !stop.isPaused) {
        this._report('a planned stop ends within its grace', stop);
      }
    };
  }

  /**
   * Notes that a process is paused.
   *
   * @returns Called when the process goes on.
   */
  beginPause(name: string): () => void {
    this._pauses.set(name, (this._pauses.get(name) ?? 0) + 1);
    for (const stop of this._stops) {
      stop.isPaused ||= stop.name === name && isOpen(stop);
    }
    return () => {
      this._pauses.set(name, (this._pauses.get(name) ?? 1) - 1);
    };
  }

  /** @returns Whether a connection closed now is closed by a planned stop. */
  mayClose(name: string): boolean {
    const oldestEndMs = Date.now() - CLOSE_NOTICE_MS;
    return this._stops.some(
      (stop) => stop.name === name && stop.endedAtMs >= oldestEndMs,
    );
  }

  /** Probes the readiness of an entry until it has ended. */
  private async _probe(stop: Stop, url: string): Promise<void> {
    await delay(SIGNAL_MS);
    while (isOpen(stop)) {
      const atMs = Date.now();
      const call = openCall({ url, host: FLEET_HOST });
      const timer = setTimeout(() => {
        call.close();
      }, PROBE_TIMEOUT_MS);
      const { status } = await call.reply;
      clearTimeout(timer);
      if (status === HTTP_OK && !stop.isPaused) {
        this._report('a stopping entry stays unready', stop, atMs);
        return;
      }
      await delay(PROBE_INTERVAL_MS);
    }
  }

  private _report(promise: string, stop: Stop, atMs = Date.now()): void {
    const afterMs = atMs - stop.signalledAtMs;
    const detail = `${stop.name}, SIGTERM at ${String(stop.signalledAtMs)}, ${String(afterMs)} ms later`;
    this.violations.push({ promise, job: '', detail });
  }
}

const isOpen = (stop: Stop): boolean => !Number.isFinite(stop.endedAtMs);
