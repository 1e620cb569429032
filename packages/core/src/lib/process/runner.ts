import { EntryLink } from '../connection/entry-link.js';
import { EntryLinks } from '../connection/entry-links.js';
import { RefusalReason, RunState, TaskKind } from '../messages.js';
import type {
  EntryMessage,
  FenceRequest,
  Hello,
  Open,
  ResultMessage,
  StartMessage,
  TaskRecord,
  TaskRef,
  Units,
} from '../messages.js';
import { CreditPool } from './credit-pool.js';
import { ResourceLedger } from './resource-ledger.js';
import type { RunRecord } from './run-records.js';
import { RunRecords } from './run-records.js';
import { StartGate } from './start-gate.js';
import type { StartGateOptions } from './start-gate.js';
import type {
  CallOutcome,
  EndpointAnnouncement,
  RunnerAction,
  RunnerEvent,
} from './runner-events.js';

/** Options of {@link RunnerCore}; times in milliseconds. */
export interface RunnerOptions extends StartGateOptions {
  readonly id: string;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Starts accepted beyond the slots from entries with waiting tasks. */
  readonly prefetch?: number;
  /** How long a result that its owner has not released is kept. */
  readonly retentionMs?: number;
  /** How long a planned stop waits for owners to release their results. */
  readonly stopWaitMs?: number;
}

const DEFAULT_PREFETCH = 0;
const DEFAULT_RETENTION_MS = 3_600_000;
const DEFAULT_STOP_WAIT_MS = 30_000;
/** A link without a message for this long is closed. */
const LINK_TIMEOUT_MS = 10_000;

/**
 * State machine of a runner, the process that controls the slots and
 * connections of one endpoint and the resources of its worker.
 *
 * Entries send starts against credits. The runner either records a start
 * before it calls the endpoint, or refuses it, which proves that the task did
 * not run. It also refuses everything from fenced entries and hands their
 * records to the successor.
 */
export class RunnerCore {
  private readonly _options: RunnerOptions;
  private readonly _gate: StartGate;
  private readonly _records = new RunRecords();
  private readonly _resources = new ResourceLedger();
  private readonly _slots: CreditPool;
  private readonly _connections: CreditPool;
  private readonly _links = new EntryLinks();
  /** Fenced entry incarnations, with the successor of each. */
  private readonly _successors = new Map<string, string>();
  private readonly _calls = new Map<number, RunRecord>();
  /** Accepted starts that wait for a free slot. */
  private _queued: RunRecord[] = [];
  private _actions: RunnerAction[] = [];
  private _nextCallId = 1;
  private _stopDeadlineMs: number | undefined;
  private _stopped = false;

  /** @param options - Identity and limits. */
  constructor(options: RunnerOptions) {
    this._options = options;
    this._gate = new StartGate(options);
    const prefetch = options.prefetch ?? DEFAULT_PREFETCH;
    this._slots = new CreditPool({ capacity: 0, prefetch });
    this._connections = new CreditPool({ capacity: 0 });
  }

  /** Version of the configuration that this runner applies. */
  get configVersion(): number {
    return this._gate.configVersion;
  }

  /** Number of endpoint calls in progress. */
  get running(): number {
    return this._calls.size;
  }

  /** Number of entries with an open link. */
  get linkCount(): number {
    return this._links.size;
  }

  /** The last endpoint announcement, if any. */
  get endpoint(): EndpointAnnouncement | undefined {
    return this._gate.endpoint;
  }

  /**
   * Applies an event and returns the actions that it requires.
   *
   * @param event - The event.
   * @param now - Current time in milliseconds.
   * @returns The actions, to be executed in this order.
   */
  handle(event: RunnerEvent, now: number): readonly RunnerAction[] {
    this._actions = [];
    this._apply(event, now);
    return this._actions;
  }

  private _apply(event: RunnerEvent, now: number): void {
    switch (event.kind) {
      case 'link-message':
        this._onLinkMessage(event.linkId, event.msg, now);
        return;
      case 'link-closed':
        this._dropLink(event.linkId);
        return;
      case 'call-done':
        this._onCallDone(event.callId, event.outcome, now);
        return;
      case 'fence':
        this._onFence(event.replyId, event.req);
        return;
      case 'endpoint-announced':
        this._onEndpoint(event.endpoint, now);
        return;
      case 'worker-announced':
        this._gate.onWorker(event.worker, now);
        this._resources.total = event.worker.total;
        return;
      case 'flush':
        this._flush(now);
        return;
      case 'tick':
        this._tick(now);
        return;
      case 'stop':
        this._stopDeadlineMs ??=
          now + (this._options.stopWaitMs ?? DEFAULT_STOP_WAIT_MS);
        this._sendHelloToAll();
    }
  }

  private _onLinkMessage(linkId: string, msg: EntryMessage, now: number): void {
    if (msg.open) {
      this._openLink(linkId, msg.open, now);
    }
    const link = this._links.get(linkId);
    if (!link) {
      return;
    }
    link.lastMessageAtMs = now;
    this._gate.onConfig(msg);
    this._onCredits(link, msg);
    for (const start of msg.starts) {
      this._onStart(link, start, now);
    }
    for (const ref of msg.cancels) {
      this._onCancel(link, ref);
    }
    for (const job of msg.released) {
      this._records.release(link.owner, job);
    }
    // Creates a batch even if nothing else does: every message is answered, so
    // that the entry can detect an unresponsive link.
    link.outbox.sentAtMs = now;
  }

  private _openLink(linkId: string, open: Open, now: number): void {
    const owner = open.incarnation;
    if (this._successors.has(owner)) {
      this._refuseFenced(linkId, now);
      return;
    }
    if (!this._links.isLatest(open)) {
      this._actions.push({ kind: 'close-link', linkId });
      return;
    }
    this._closeLinkOf(owner);
    const link = this._links.open(linkId, open, now);
    this._slots.connect(owner);
    this._connections.connect(owner);
    link.outbox.hello = this._hello();
  }

  private _refuseFenced(linkId: string, now: number): void {
    const link = new EntryLink(linkId, '', 0, now);
    link.outbox.fenced = true;
    link.outbox.sentAtMs = now;
    this._actions.push({ kind: 'send', linkId, msg: link.outbox });
    this._actions.push({ kind: 'close-link', linkId });
  }

  private _hello(): Hello {
    return {
      runner: this._options.id,
      incarnation: this._options.incarnation,
      dataCentre: this._options.dataCentre,
      rack: this._gate.worker?.rack ?? '',
      endpoint: this._gate.endpoint?.name ?? '',
      capacity: this._gate.capacity,
      worker: this._resources.total,
    };
  }

  private _onCredits(link: EntryLink, msg: EntryMessage): void {
    if (msg.returned) {
      this._slots.returnCredits(link.owner, msg.returned.slots);
      this._connections.returnCredits(link.owner, msg.returned.connections);
    }
    if (msg.demand) {
      this._slots.setDemand(link.owner, msg.demand.slots);
      this._connections.setDemand(link.owner, msg.demand.connections);
    }
  }

  private _onStart(link: EntryLink, start: StartMessage, now: number): void {
    const known = this._records.get(link.owner, start.job, start.index);
    if (known) {
      if (known.state.kind === 'done') {
        link.outbox.results.push(known.state.result);
      }
      return;
    }
    const reason =
      this._stopDeadlineMs === undefined
        ? (this._gate.findRefusal(start, now) ??
          this._reserveCapacity(link.owner, start))
        : RefusalReason.STOPPING;
    if (reason !== undefined) {
      this._refuse(link, start, reason);
      return;
    }
    this._resources.reserve(start.needs);
    const record: RunRecord = {
      owner: link.owner,
      start,
      startedAtMs: now,
      state: { kind: 'queued' },
      released: false,
    };
    this._records.add(record);
    this._queued.push(record);
    this._startQueued(now);
  }

  private _reserveCapacity(
    owner: string,
    start: StartMessage,
  ): RefusalReason | undefined {
    if (!this._resources.fits(start.needs)) {
      return RefusalReason.NO_RESOURCES;
    }
    return this._poolOf(start).take(owner)
      ? undefined
      : RefusalReason.NO_CAPACITY;
  }

  private _refuse(
    link: EntryLink | undefined,
    start: StartMessage,
    reason: RefusalReason,
  ): void {
    link?.outbox.refusals.push({
      job: start.job,
      index: start.index,
      reason,
    });
  }

  private _startQueued(now: number): void {
    if (this._queued.length === 0) {
      return;
    }
    const waiting = this._queued;
    this._queued = [];
    let busySlots = 0;
    for (const record of this._calls.values()) {
      busySlots += record.start.kind === TaskKind.JOB ? 1 : 0;
    }
    for (const record of waiting) {
      const needsSlot = record.start.kind === TaskKind.JOB;
      if (needsSlot && busySlots >= this._slots.capacity) {
        this._queued.push(record);
        continue;
      }
      if (this._call(record, now) && needsSlot) {
        busySlots += 1;
      }
    }
  }

  private _call(record: RunRecord, now: number): boolean {
    const reason = this._gate.findRefusal(record.start, now);
    if (reason !== undefined) {
      this._refuseAccepted(record, reason);
      return false;
    }
    const callId = this._nextCallId++;
    record.state = { kind: 'running', callId };
    this._calls.set(callId, record);
    this._actions.push({
      kind: 'call',
      callId,
      url: this._gate.endpoint?.url ?? '',
      start: record.start,
    });
    return true;
  }

  /** Refuses an accepted start that provably did not reach the endpoint. */
  private _refuseAccepted(record: RunRecord, reason: RefusalReason): void {
    this._records.remove(record);
    this._releaseCapacity(record);
    this._refuse(this._links.of(record.owner), record.start, reason);
  }

  private _releaseCapacity(record: RunRecord): void {
    this._poolOf(record.start).release(record.owner);
    this._resources.release(record.start.needs);
  }

  private _onCallDone(callId: number, outcome: CallOutcome, now: number): void {
    const record = this._calls.get(callId);
    if (!record) {
      return;
    }
    this._calls.delete(callId);
    if (outcome.kind === 'not-sent') {
      this._refuseAccepted(record, RefusalReason.ENDPOINT_UNREACHABLE);
    } else {
      const result = toResult(record, outcome, now);
      record.state = { kind: 'done', result };
      this._releaseCapacity(record);
      this._deliver(record, result);
    }
    this._startQueued(now);
  }

  private _deliver(record: RunRecord, result: ResultMessage): void {
    if (record.released) {
      this._records.remove(record);
      return;
    }
    this._links.of(record.owner)?.outbox.results.push(result);
  }

  private _onCancel(link: EntryLink, ref: TaskRef): void {
    const record = this._records.get(link.owner, ref.job, ref.index);
    switch (record?.state.kind) {
      case 'queued':
        this._queued = this._queued.filter((r) => r !== record);
        this._refuseAccepted(record, RefusalReason.CANCELLED);
        return;
      case 'running':
        this._actions.push({
          kind: 'abort-call',
          callId: record.state.callId,
        });
        return;
      case 'done':
      case undefined:
    }
  }

  private _onFence(replyId: number, req: FenceRequest): void {
    this._fence(req.owner, req.successor);
    const records: TaskRecord[] = [];
    for (const record of this._records.of(req.successor)) {
      records.push(toTaskRecord(record));
    }
    this._actions.push({
      kind: 'fence-reply',
      replyId,
      reply: {
        incarnation: this._options.incarnation,
        records,
        incomplete: this._records.isIncomplete(req.successor),
      },
    });
  }

  /**
   * Fences an owner. If it was fenced before in favour of another successor,
   * that successor has itself been replaced and is fenced as well.
   */
  private _fence(owner: string, successor: string): void {
    const current = this._successors.get(owner);
    if (owner === successor || current === successor) {
      return;
    }
    this._successors.set(owner, successor);
    this._closeLinkOf(owner);
    this._moveRecords(owner, successor);
    if (current !== undefined) {
      this._fence(current, successor);
    }
  }

  private _moveRecords(owner: string, successor: string): void {
    this._records.move(owner, successor);
    this._slots.move(owner, successor);
    this._connections.move(owner, successor);
  }

  private _onEndpoint(endpoint: EndpointAnnouncement, now: number): void {
    const hasChanged = this._gate.onEndpoint(endpoint, now);
    const { slots, connections } = this._gate.capacity;
    this._slots.capacity = slots;
    this._connections.capacity = connections;
    if (hasChanged) {
      this._sendHelloToAll();
    }
  }

  private _flush(now: number): void {
    const owners = this._links.owners();
    this._slots.open = this._canStart(now);
    this._connections.open = this._canStart(now);
    this._allocate(this._slots, 'slots', owners);
    this._allocate(this._connections, 'connections', owners);
    for (const link of this._links.all()) {
      const msg = link.takeOutbox();
      if (!msg) {
        continue;
      }
      msg.sentAtMs = now;
      msg.configVersion = this._gate.configVersion;
      msg.free = this._resources.free;
      msg.endpointPresent = this._canStart(now);
      msg.stopping = this._stopDeadlineMs !== undefined;
      this._actions.push({ kind: 'send', linkId: link.linkId, msg });
    }
  }

  private _allocate(
    pool: CreditPool,
    name: keyof Units,
    owners: readonly string[],
  ): void {
    for (const [owner, change] of pool.allocate(owners)) {
      const link = this._links.of(owner);
      link?.addCredits('grants', name, change.grant);
      link?.addCredits('recalls', name, change.recall);
    }
  }

  private _canStart(now: number): boolean {
    return this._stopDeadlineMs === undefined && this._gate.isOpen(now);
  }

  private _tick(now: number): void {
    for (const link of this._links.all()) {
      if (now - link.lastMessageAtMs > LINK_TIMEOUT_MS) {
        this._actions.push({ kind: 'close-link', linkId: link.linkId });
        this._dropLink(link.linkId);
      }
    }
    if (this._gate.removeExpiredWorker(now)) {
      this._resources.total = { cores: 0, memoryMb: 0, accelerators: 0 };
    }
    this._records.expire(
      now - (this._options.retentionMs ?? DEFAULT_RETENTION_MS),
    );
    this._finishStop(now);
  }

  private _finishStop(now: number): void {
    if (this._stopDeadlineMs === undefined || this._stopped) {
      return;
    }
    const idle = this._calls.size === 0 && this._queued.length === 0;
    const released = this._records.all().next().done === true;
    if (idle && (released || now >= this._stopDeadlineMs)) {
      this._stopped = true;
      this._actions.push({ kind: 'stopped' });
    }
  }

  private _sendHelloToAll(): void {
    for (const link of this._links.all()) {
      link.outbox.hello = this._hello();
    }
  }

  private _closeLinkOf(owner: string): void {
    const link = this._links.of(owner);
    if (link) {
      this._actions.push({ kind: 'close-link', linkId: link.linkId });
      this._dropLink(link.linkId);
    }
  }

  private _dropLink(linkId: string): void {
    const link = this._links.drop(linkId);
    if (link) {
      this._slots.disconnect(link.owner);
      this._connections.disconnect(link.owner);
    }
  }

  private _poolOf(start: StartMessage): CreditPool {
    return start.kind === TaskKind.JOB ? this._slots : this._connections;
  }
}

const toResult = (
  record: RunRecord,
  outcome: Exclude<CallOutcome, { kind: 'not-sent' }>,
  now: number,
): ResultMessage => {
  const answered = outcome.kind === 'answered';
  return {
    job: record.start.job,
    index: record.start.index,
    state: answered ? RunState.RAN : RunState.MAY_HAVE_RUN,
    status: answered ? outcome.status : 0,
    body: answered ? outcome.body : new Uint8Array(),
    contentType: answered ? outcome.contentType : '',
    runMs: now - record.startedAtMs,
    detail: answered ? '' : outcome.detail,
  };
};

const toTaskRecord = (record: RunRecord): TaskRecord => ({
  job: record.start.job,
  index: record.start.index,
  running: record.state.kind !== 'done',
  ...(record.state.kind === 'done' ? { result: record.state.result } : {}),
});
