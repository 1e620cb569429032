import type {
  EntryMessage,
  FenceReply,
  FenceRequest,
  Resources,
  RunnerMessage,
  StartMessage,
} from '../messages.js';

/** How a call to an endpoint ended. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  /** Proved: the endpoint received nothing of the call. */
  | { readonly kind: 'not-sent' }
  /** The call was cut after it may have reached the endpoint. */
  | { readonly kind: 'broken'; readonly detail: string };

/** What an endpoint tells its runner on the local host. */
export interface EndpointAnnouncement {
  readonly name: string;
  readonly url: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}

/** What a worker tells its runner on the local host. */
export interface WorkerAnnouncement {
  readonly name: string;
  readonly rack: string;
  readonly total: Resources;
}

/** Something that happened to a runner. */
export type RunnerEvent =
  | {
      readonly kind: 'link-message';
      readonly linkId: string;
      readonly msg: EntryMessage;
    }
  | { readonly kind: 'link-closed'; readonly linkId: string }
  | {
      readonly kind: 'call-done';
      readonly callId: number;
      readonly outcome: CallOutcome;
    }
  | {
      readonly kind: 'fence';
      readonly replyId: number;
      readonly req: FenceRequest;
    }
  | {
      readonly kind: 'endpoint-announced';
      readonly endpoint: EndpointAnnouncement;
    }
  | { readonly kind: 'worker-announced'; readonly worker: WorkerAnnouncement }
  /** The current turn of the loop ends: batches are sent. */
  | { readonly kind: 'flush' }
  /** Time has passed. */
  | { readonly kind: 'tick' }
  /** A planned stop was asked for. */
  | { readonly kind: 'stop' };

/** Something that a runner wants done. */
export type RunnerAction =
  | {
      readonly kind: 'send';
      readonly linkId: string;
      readonly msg: RunnerMessage;
    }
  | { readonly kind: 'close-link'; readonly linkId: string }
  | {
      readonly kind: 'call';
      readonly callId: number;
      readonly url: string;
      readonly start: StartMessage;
    }
  | { readonly kind: 'abort-call'; readonly callId: number }
  | {
      readonly kind: 'fence-reply';
      readonly replyId: number;
      readonly reply: FenceReply;
    }
  /** All work has ended after a planned stop. */
  | { readonly kind: 'stopped' };
