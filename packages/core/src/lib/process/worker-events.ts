import type { EndKind, Room, WorkerOrder, WorkerReport } from '../messages.js';

/** What a worker says of itself. */
export interface WorkerHeartbeat {
  readonly id: string;
  /** Start of this incarnation, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** Rises with each announcement of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly dataCentre: string;
  /** Whether it takes new runs; false while it leaves. */
  readonly accepting: boolean;
  readonly capacity: Room;
  readonly labels: readonly string[];
}

/** A run that a worker lists as active. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Share of its full pace at which it works. */
  readonly percent: number;
}

/** An end that a worker lists until it is acknowledged. */
export interface ListedEnd {
  /** Position in the worker's list; starts at 1 in each incarnation. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Why a worker did nothing on a call. */
export enum WorkerRejection {
  /** The fencing token is lower than one it has seen. */
  Fenced = 'fenced',
  /** The run number is not higher than one that ended or was stopped. */
  StaleRun = 'stale-run',
  /** The time until which the run may go on has passed. */
  Expired = 'expired',
  NoRoom = 'no-room',
  Invalid = 'invalid',
  Unhealthy = 'unhealthy',
  /** Another incarnation answers at this address. */
  OtherLife = 'other-life',
}

/** A call to the worker. All times are on the worker's clock. */
export type WorkerCall =
  | {
      readonly kind: 'start';
      /** Id of the incarnation meant. */
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
  | {
      readonly kind: 'hold';
      readonly id: string | undefined;
      readonly token: number;
      /** Extends the lease of all runs; absent leaves it as it is. */
      readonly untilMs: number | undefined;
      /** Ends up to this number may be forgotten. */
      readonly ackedThrough: number;
      /** How long the worker may wait for an end before it answers. */
      readonly waitMs: number;
      readonly timeoutMs: number;
    };

/** What became of a call. */
export type WorkerReply =
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
  /** It may have been carried out, or may still be. */
  | { readonly kind: 'no-answer'; readonly detail: string };

/** Something that happens to the process beside a worker. */
export type WorkerEvent =
  | { readonly kind: 'announce'; readonly worker: WorkerHeartbeat }
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
  | { readonly kind: 'tick' }
  | { readonly kind: 'stop' }
  /** Ends the turn of the loop: sends what has gathered. */
  | { readonly kind: 'flush' };

/** What the process beside a worker has to do. */
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
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  /** A planned stop has ended. */
  | { readonly kind: 'stopped' };
