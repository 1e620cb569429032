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
  /** The endpoint provably received nothing of the call. */
  | { readonly kind: 'not-sent' }
  /** The call was interrupted after it may have reached the endpoint. */
  | { readonly kind: 'broken'; readonly detail: string };

/** What an endpoint reports to the runner on the same host. */
export interface EndpointAnnouncement {
  readonly name: string;
  readonly url: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}

/** What a worker reports to the runner on the same host. */
export interface WorkerAnnouncement {
  readonly name: string;
  readonly rack: string;
  readonly total: Resources;
}

/** Input of `RunnerCore`. */
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
  /** The current turn of the event loop ends; pending batches are sent. */
  | { readonly kind: 'flush' }
  /** Periodic timer, which drives timeouts and expiry. */
  | { readonly kind: 'tick' }
  /** A planned stop was requested. */
  | { readonly kind: 'stop' };

/** Output of `RunnerCore`: an action for the host process to execute. */
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
  /** The planned stop is complete; the process may exit. */
  | { readonly kind: 'stopped' };
