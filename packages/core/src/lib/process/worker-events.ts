import type { DataCentreRead } from './data-centre-state.js';
import type { EndKind, Room, WorkerOrder, WorkerReport } from '../messages.js';

/** Announcement of a worker: its identity, capacity and state. */
export interface WorkerHeartbeat {
  readonly id: string;
  /** Start of this incarnation, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly dataCentre: string;
  /** Whether the worker accepts new runs; false while it is leaving. */
  readonly accepting: boolean;
  readonly capacity: Room;
  readonly labels: readonly string[];
}

/**
 * @param worker - A heartbeat.
 * @param known - A heartbeat that was received before.
 * @returns Whether the first one was sent earlier, so that it arrived late.
 */
export const isOutdatedHeartbeat = (
  worker: WorkerHeartbeat,
  known: WorkerHeartbeat,
): boolean =>
  worker.bornMs < known.bornMs ||
  (worker.bornMs === known.bornMs &&
    worker.id === known.id &&
    worker.sequence < known.sequence);

/** A run that a worker lists as active. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Share of its full pace at which the run works. */
  readonly percent: number;
}

/** The end of a run, listed by the worker until it is acknowledged. */
export interface ListedEnd {
  /** Position in the worker's list; starts at 1 in each incarnation. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Why a worker rejected a call without effect. */
export enum WorkerRejection {
  /** The fencing token is lower than one that the worker has seen. */
  Fenced = 'fenced',
  /** The run number is not higher than one that ended or was stopped. */
  StaleRun = 'stale-run',
  /** The time until which the run may continue has passed. */
  Expired = 'expired',
  NoRoom = 'no-room',
  Invalid = 'invalid',
  Unhealthy = 'unhealthy',
  /** Another incarnation answers at this address. */
  OtherIncarnation = 'other-incarnation',
}

/** A call to the worker. All times are on the worker's clock. */
export type WorkerCall =
  | {
      readonly kind: 'start';
      /** Id of the worker incarnation that the call is meant for. */
      readonly id: string | undefined;
      readonly token: number;
      readonly task: string;
      readonly run: number;
      readonly spec: string;
      readonly checkpoint: string;
      readonly untilMs: number;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'stop';
      readonly id: string | undefined;
      readonly token: number;
      readonly task: string;
      readonly run: number;
      readonly timeoutMs: number;
    }
  /** A poll: may renew the lease, and requests the active runs and the ends. */
  | {
      readonly kind: 'hold';
      readonly id: string | undefined;
      readonly token: number;
      /** New lease end for all runs; absent leaves the lease unchanged. */
      readonly untilMs: number | undefined;
      /** The worker may forget ends up to this number. */
      readonly ackedThrough: number;
      /** How long the worker may wait for an end before it replies. */
      readonly waitMs: number;
      readonly timeoutMs: number;
    };

/** Outcome of a call to the worker. */
export type WorkerReply =
  /** Reply to a poll. */
  | {
      readonly kind: 'held';
      readonly clockMs: number;
      readonly bornMs: number;
      readonly active: readonly ListedRun[];
      readonly ends: readonly ListedEnd[];
    }
  | { readonly kind: 'done'; readonly clockMs: number }
  | {
      readonly kind: 'rejected';
      readonly reason: WorkerRejection;
      readonly clockMs: number | undefined;
    }
  /** The call may have been carried out, or may be later. */
  | { readonly kind: 'no-answer'; readonly detail: string }
  /** The worker's address refuses connections: its process has ended. */
  | { readonly kind: 'unreachable' };

/** Input of the worker driver. */
export type WorkerEvent =
  | { readonly kind: 'announce'; readonly worker: WorkerHeartbeat }
  /** The worker with this id has left. */
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'link-open'; readonly linkId: number }
  | {
      readonly kind: 'order';
      readonly linkId: number;
      readonly order: WorkerOrder;
    }
  | { readonly kind: 'link-closed'; readonly linkId: number }
  | {
      readonly kind: 'reply';
      readonly callId: number;
      readonly reply: WorkerReply;
    }
  /** Result of a `read-data-centre` action; absent if it has failed. */
  | {
      readonly kind: 'data-centre-read';
      readonly read: DataCentreRead | undefined;
    }
  /** Periodic timer, which drives polls and timeouts. */
  | { readonly kind: 'tick' }
  /**
   * A planned stop was requested. `sinceMs` is a time before which it can't have
   * been requested; by default it is the time of the event.
   */
  | { readonly kind: 'stop'; readonly sinceMs?: number }
  /** Ends a turn of the event loop: sends the collected reports. */
  | { readonly kind: 'flush' };

/** Action that the worker driver process has to perform. */
export type WorkerAction =
  | {
      readonly kind: 'call';
      readonly callId: number;
      readonly call: WorkerCall;
    }
  | {
      readonly kind: 'report';
      readonly linkId: number;
      readonly report: WorkerReport;
    }
  /** Closes a link, which is then not reported as closed. */
  | { readonly kind: 'close-link'; readonly linkId: number }
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  /**
   * The worker of this heartbeat is the one that answers at its address, or that
   * has left.
   */
  | { readonly kind: 'confirmed'; readonly worker: WorkerHeartbeat }
  /** Reads from the operators' table whether a data centre is out of service. */
  | { readonly kind: 'read-data-centre'; readonly dataCentre: string }
  /** A planned stop is complete. */
  | { readonly kind: 'stopped' };
