import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { WORKER_CLOCK_MIN_RATE } from './worker-clock.js';

/** Bounds of the platform from which {@link RunLimits} follow. */
export interface RunBounds {
  /**
   * Time after which the caller of a volatile job sends it again, to any entry,
   * once its connection has broken, in milliseconds.
   */
  readonly resendMs: number;
  /** Longest time that a worker takes to stop a run, in milliseconds. */
  readonly stopMs: number;
  /** Longest lease that a worker grants, in milliseconds on its own clock. */
  readonly maxLeaseMs: number;
}

/** Bounds that hold unless the settings say otherwise. */
export const DEFAULT_RUN_BOUNDS: RunBounds = {
  resendMs: 1300,
  stopMs: 50,
  maxLeaseMs: 1000,
};

/**
 * Time limits of runs. They do not rely on what entries tell each other about
 * volatile jobs, so a run of one must have ended before its caller may send the
 * job to another entry: the sum of the limits, {@link longestOrphanMs}, is below
 * {@link RunBounds.resendMs}. All times are in milliseconds.
 */
export interface RunLimits extends RunBounds {
  /**
   * Age of an entry's last poll of its sockets above which its decisions count
   * from that poll, because callers may have disconnected since. On the entry's
   * clock.
   */
  readonly maxPollAgeMs: number;
  /**
   * How long runs may continue after the time from which an order of their entry
   * counts. On the worker's clock.
   */
  readonly grantMs: number;
  /**
   * Time that the expired runs of an entry have to stop before the lease of the
   * worker ends. On the worker's clock.
   */
  readonly expiryGraceMs: number;
  /**
   * Time that an entry has to open a new link before its runs expire. On the
   * worker's clock.
   */
  readonly reconnectGraceMs: number;
  /**
   * Time after which a stop call is repeated while it is pending, because a
   * worker may leave several calls unanswered. On the driver's clock.
   */
  readonly stopRepeatDelayMs: number;
  /**
   * Longest lease that the driver requests. A run that begins under a lease that
   * was renewed before its start was read may last as long; it ends with its grant
   * and grace if its order is at most {@link maxPollAgeMs} old. On the worker's
   * clock.
   */
  readonly leaseMs: number;
  /** Longest delay of the worker's reply to a poll; three fit into a lease. */
  readonly pollWaitMs: number;
  /**
   * Time from the end of a grant and its grace until a lease that was renewed
   * without regard to them has ended, with its runs. On the worker's clock.
   */
  readonly leaseExpiryMs: number;
  /**
   * Time without contact from their entry after which its runs at a worker have
   * ended, even if the worker's clock runs slow, unless the worker carries out
   * earlier calls late.
   */
  readonly runExpiryMs: number;
  /** The same time if the worker may carry out earlier calls late. */
  readonly lateRunExpiryMs: number;
}

/** Why no limits follow from bounds. */
export interface UnsafeBounds {
  /** The bound that has to change. */
  readonly bound: keyof RunBounds;
  /** Its least value with the other bounds as they are, in milliseconds. */
  readonly leastMs: number;
}

/** Longest delay with which a worker may carry out a call. */
export const DELAYED_CALL_LIMIT_MS = 12_000;

/**
 * Limits in use if callers wait long enough. The first three are the terms of
 * the sum, 1,223 ms.
 */
const LONGEST = {
  maxPollAgeMs: 100,
  grantMs: 700,
  expiryGraceMs: 400,
  reconnectGraceMs: 450,
  stopRepeatDelayMs: 100,
};
/**
 * Least grant: the interval between two orders, 250 ms, a tick of the entry of
 * 100 ms, and 100 ms until a busy driver has read the order.
 */
const MIN_GRANT_MS = 450;
const MAX_POLL_WAIT_MS = 250;
/** Polls that follow one another within a lease. */
const POLLS_PER_LEASE = 4;
const MIN_LEASE_MS = 400;
/**
 * Part of the time until a job is sent again that no limit may use: timers and
 * clock readings are rounded to milliseconds, and a lease ends at the worker's
 * next timer.
 */
const RESEND_MARGIN_MS = 25;
/** Allowance for the worker's timers in a bound of its lease. */
const LEASE_TIMER_MARGIN_MS = 50;
/** Upper bound of the latency of the worker's replies. */
const REPLY_MARGIN_MS = 150;

/** @returns Longest real time in which a worker's clock advances by `ms`. */
const realTimeMs = (ms: number): number => ms / WORKER_CLOCK_MIN_RATE;

/** Time that a volatile run may be active after its entry lost the caller. */
const orphanMs = ({
  maxPollAgeMs,
  grantMs,
  expiryGraceMs,
}: Pick<RunLimits, 'maxPollAgeMs' | 'grantMs' | 'expiryGraceMs'>): number =>
  maxPollAgeMs + realTimeMs(grantMs + expiryGraceMs);

/**
 * @param limits - Limits of the runs.
 * @returns Longest time from the loss of a caller, of the entry or of the path
 *   between entry and worker driver until the runs of a volatile job have ended,
 *   in milliseconds of real time. The worker may ignore all stops meanwhile, but
 *   not carry out calls late, and the driver reads starts whose orders are at most
 *   `maxPollAgeMs` old.
 */
export const longestOrphanMs = (limits: RunLimits): number =>
  orphanMs(limits) + limits.stopMs;

/**
 * @param limits - Limits of the runs.
 * @returns Longest time from the sending of a start until its run has ended, if the
 *   worker executes the start late and no call renews the lease, in milliseconds of
 *   real time.
 */
export const longestLateRunMs = ({
  maxLeaseMs,
  stopMs,
}: Pick<RunLimits, 'maxLeaseMs' | 'stopMs'>): number =>
  realTimeMs(DELAYED_CALL_LIMIT_MS + maxLeaseMs + stopMs);

/**
 * Derives the limits of runs. They are the longest ones in use if callers wait
 * long enough, and shorter in the same proportion otherwise.
 *
 * @param bounds - Bounds of the platform.
 * @returns The limits, or the bound from which no safe limits follow.
 */
export const deriveRunLimits = (
  bounds: RunBounds,
): Result<RunLimits, UnsafeBounds> => {
  const { resendMs, stopMs, maxLeaseMs } = bounds;
  if (stopMs < 0) {
    return new Err({ bound: 'stopMs', leastMs: 0 });
  }
  if (maxLeaseMs < MIN_LEASE_MS) {
    return new Err({ bound: 'maxLeaseMs', leastMs: MIN_LEASE_MS });
  }
  const reservedMs = stopMs + RESEND_MARGIN_MS;
  const scale = Math.min(1, (resendMs - reservedMs) / orphanMs(LONGEST));
  const scaled = (ms: number): number => Math.floor(scale * ms);
  const grantMs = scaled(LONGEST.grantMs);
  if (grantMs < MIN_GRANT_MS) {
    const minScale = MIN_GRANT_MS / LONGEST.grantMs;
    const leastMs = Math.ceil(reservedMs + minScale * orphanMs(LONGEST));
    return new Err({ bound: 'resendMs', leastMs });
  }
  const expiryGraceMs = scaled(LONGEST.expiryGraceMs);
  const maxPollAgeMs = scaled(LONGEST.maxPollAgeMs);
  const leaseMs = Math.min(maxLeaseMs, grantMs + expiryGraceMs - maxPollAgeMs);
  const leaseExpiryMs = maxLeaseMs + stopMs + LEASE_TIMER_MARGIN_MS;
  const runExpiryMs =
    realTimeMs(grantMs + expiryGraceMs + leaseExpiryMs) + REPLY_MARGIN_MS;
  return new Ok({
    ...bounds,
    maxPollAgeMs,
    grantMs,
    expiryGraceMs,
    reconnectGraceMs: scaled(LONGEST.reconnectGraceMs),
    stopRepeatDelayMs: scaled(LONGEST.stopRepeatDelayMs),
    leaseMs,
    pollWaitMs: Math.min(
      MAX_POLL_WAIT_MS,
      Math.floor(leaseMs / POLLS_PER_LEASE),
    ),
    leaseExpiryMs,
    runExpiryMs,
    lateRunExpiryMs: runExpiryMs + realTimeMs(DELAYED_CALL_LIMIT_MS),
  });
};

/** Limits that follow from {@link DEFAULT_RUN_BOUNDS}. */
export const DEFAULT_RUN_LIMITS: RunLimits =
  deriveRunLimits(DEFAULT_RUN_BOUNDS).unwrap();
