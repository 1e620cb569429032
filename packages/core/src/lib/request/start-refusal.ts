import { StartRefusal } from '../messages.js';

/**
 * Decides whether the refusal of a start proves that the run has not begun and
 * never will. It is the only such proof that jobs, callers and counts of pending
 * jobs rely on.
 *
 * A worker driver process gives `NO_ROOM`, `NOT_READY` and `UNHEALTHY` only for a
 * start that it has not passed on, or has passed on once with a rejection as the
 * first answer. If it has called the worker twice, or has got no answer before,
 * it stops the run and gives `NO_ANSWER` once the worker has confirmed the stop,
 * after which it rejects the start, and lists the run neither as active nor among
 * its ends. For a recorded job that is a proof as well, as the worker lists an
 * end until the owner of the job has recorded it. The end of a volatile job's run
 * may have been acknowledged before.
 *
 * `STALE_RUN` is no proof, as another entry may have started a run of the same
 * number.
 *
 * @param reason - Why a worker driver process refused a start.
 * @param isVolatile - Whether the job of the run is not recorded.
 * @returns Whether the run has provably not begun.
 */
export const provesNotBegun = (
  reason: StartRefusal,
  isVolatile: boolean,
): boolean => {
  switch (reason) {
    case StartRefusal.NO_ROOM:
    case StartRefusal.NOT_READY:
    case StartRefusal.UNHEALTHY:
      return true;
    case StartRefusal.NO_ANSWER:
      return !isVolatile;
    case StartRefusal.STALE_RUN:
    case StartRefusal.FENCED:
    case StartRefusal.INVALID:
    case StartRefusal.UNSPECIFIED:
      return false;
  }
};
