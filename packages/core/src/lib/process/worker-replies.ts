import { StartRefusal } from '../messages.js';
import { WorkerRejection } from './worker-events.js';
import type { WorkerReply } from './worker-events.js';

/** Refusal of a start that entries are told, by the reason of the worker. */
export const REFUSALS: Readonly<Record<WorkerRejection, StartRefusal>> = {
  [WorkerRejection.Fenced]: StartRefusal.NOT_READY,
  [WorkerRejection.StaleRun]: StartRefusal.STALE_RUN,
  [WorkerRejection.Expired]: StartRefusal.NOT_READY,
  [WorkerRejection.NoRoom]: StartRefusal.NO_ROOM,
  [WorkerRejection.Invalid]: StartRefusal.INVALID,
  [WorkerRejection.Unhealthy]: StartRefusal.UNHEALTHY,
  [WorkerRejection.OtherIncarnation]: StartRefusal.NOT_READY,
};

/**
 * @param reply - A reply of the worker.
 * @returns Why the call failed, for the log; empty if it did not.
 */
export const reasonOf = (reply: WorkerReply): string => {
  switch (reply.kind) {
    case 'rejected':
      return reply.reason;
    case 'no-answer':
      return reply.detail;
    case 'unreachable':
      return 'connection refused';
    case 'held':
    case 'done':
      return '';
  }
};
