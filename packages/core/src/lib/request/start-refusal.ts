import { StartRefusal } from '../messages.js';

/**
 * Decides whether the refusal of a start proves that the run has not begun and
 * never will. It is the only such proof that jobs, callers and counts of pending
 * jobs rely on.
 *
 * A worker driver process gives these reasons only for a start that it has not
 * passed on, or has passed on once with a rejection as the first answer. If it
 * has called the worker twice, or has got no answer before, it stops the run and
 * gives `NO_ANSWER`: the earlier call may still be carried out. `STALE_RUN` is no
 * proof, as another entry may have started a run of the same number.
 *
 * @param reason - Why a worker driver process refused a start.
 * @returns Whether the run has provably not begun.
 */
export const provesNotBegun = (reason: StartRefusal): boolean => {
  switch (reason) {
    case StartRefusal.NO_ROOM:
    case StartRefusal.NOT_READY:
    case StartRefusal.UNHEALTHY:
      return true;
    case StartRefusal.STALE_RUN:
    case StartRefusal.FENCED:
    case StartRefusal.NO_ANSWER:
    case StartRefusal.INVALID:
    case StartRefusal.UNSPECIFIED:
      return false;
  }
};
