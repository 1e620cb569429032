import type * as wire from '@sapphiremux/wire';

export { RefusalReason, RunState, TaskKind } from '@sapphiremux/wire';

/** A batch from an entry to a runner. */
export type EntryMessage = wire.PlainMessage<wire.EntryMessage>;
/** A batch from a runner to an entry. */
export type RunnerMessage = wire.PlainMessage<wire.RunnerMessage>;
/** The start of one task. */
export type StartMessage = wire.PlainMessage<wire.Start>;
/** The result of one task. */
export type ResultMessage = wire.PlainMessage<wire.Result>;
/** A start that provably did not run. */
export type RefusalMessage = wire.PlainMessage<wire.Refusal>;
/** Reference to one task. */
export type TaskRef = wire.PlainMessage<wire.TaskRef>;
/** Amounts of the two capacity pools of an endpoint. */
export type Units = wire.PlainMessage<wire.Units>;
/** Amounts of a worker's resources. */
export type Resources = wire.PlainMessage<wire.Resources>;
/** Identity and capacity of a runner, in its first batch on a link. */
export type Hello = wire.PlainMessage<wire.Hello>;
/** Identity of an entry and the link number, in its first batch on a link. */
export type Open = wire.PlainMessage<wire.Open>;
/** The part of the configuration that a runner acts on. */
export type RunnerConfig = wire.PlainMessage<wire.RunnerConfig>;
/** Asks a runner to refuse all further starts of an owner. */
export type FenceRequest = wire.PlainMessage<wire.FenceRequest>;
/** A runner's records of the tasks of a fenced owner. */
export type FenceReply = wire.PlainMessage<wire.FenceReply>;
/** A runner's record of one task. */
export type TaskRecord = wire.PlainMessage<wire.TaskRecord>;
/** Announces a runner to an entry. */
export type AnnounceRequest = wire.PlainMessage<wire.AnnounceRequest>;
/** An entry's configuration version, and tickets that the receiver may lack. */
export type PollRequest = wire.PlainMessage<wire.PollRequest>;
/** Reply to a {@link PollRequest}, with the same data about the receiver. */
export type PollReply = wire.PlainMessage<wire.PollReply>;
/** A ticket as exchanged between entries. */
export type TicketRow = wire.PlainMessage<wire.TicketRow>;

/**
 * Key of a task within one owner.
 *
 * @param job - Job or request id.
 * @param index - Position of the task in its job.
 * @returns A key that no other task of the owner has.
 */
export const taskKey = (job: string, index: number): string =>
  `${job}#${String(index)}`;

/** @returns An empty batch from an entry. */
export const emptyEntryMessage = (): EntryMessage => ({
  starts: [],
  cancels: [],
  released: [],
  confirmedAtMs: 0,
  configVersion: 0,
});

/** @returns An empty batch from a runner. */
export const emptyRunnerMessage = (): RunnerMessage => ({
  results: [],
  refusals: [],
  sentAtMs: 0,
  configVersion: 0,
  endpointPresent: false,
  stopping: false,
  fenced: false,
});

export { EndKind, StartRefusal } from '@sapphiremux/wire';

/** Processor time in thousandths of a core, memory and accelerators. */
export type Room = wire.PlainMessage<wire.Room>;
/** Reference to one run of a task. */
export type RunRef = wire.PlainMessage<wire.RunRef>;
/** Order to stop one run. */
export type RunStop = wire.PlainMessage<wire.RunStop>;
/** Run starts that share a specification. */
export type StartGroup = wire.PlainMessage<wire.StartGroup>;
/** The end of a run that its owner has recorded. */
export type RecordedEnd = wire.PlainMessage<wire.RecordedEnd>;
/** A batch from an entry to a worker driver. */
export type WorkerOrder = wire.PlainMessage<wire.WorkerOrder>;
/** A batch from a worker driver to an entry. */
export type WorkerReport = wire.PlainMessage<wire.WorkerReport>;
/** Identity of a worker in one of its incarnations. */
export type WorkerHello = wire.PlainMessage<wire.WorkerHello>;
/** How a run ended. */
export type RunEnd = wire.PlainMessage<wire.RunEnd>;
/** A run that provably did not start. */
export type RefusedRun = wire.PlainMessage<wire.RefusedRun>;
/** A run that may have been active when its worker crashed. */
export type CrashedRun = wire.PlainMessage<wire.CrashedRun>;
/** The unplanned end of an incarnation of a worker. */
export type WorkerCrash = wire.PlainMessage<wire.WorkerCrash>;
/** A run that may be active. */
export type ActiveRun = wire.PlainMessage<wire.ActiveRun>;
