import { ErrorCode, PriorityClass, RunState } from '@sapphiremux/core';
import type {
  Change,
  EntryAction,
  EntryMessage,
  JobSpec,
  Reply,
  RunnerAction,
  RunnerMessage,
} from '@sapphiremux/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from './event-queue.js';
import { Network } from './network.js';
import { Oracle } from './oracle.js';
import { SimEntry } from './sim-entry.js';
import { SimRunner } from './sim-runner.js';
import { SimStore } from './sim-store.js';

/** Options of {@link World}. */
export interface WorldOptions {
  readonly seed: number;
  /** Receives each action of a process; by default the action is performed. */
  readonly intercept?: ActionInterceptor;
}

/** An action that a process is about to perform. */
export type SimAction =
  | {
      readonly role: 'entry';
      readonly process: SimEntry;
      readonly action: EntryAction;
    }
  | {
      readonly role: 'runner';
      readonly process: SimRunner;
      readonly action: RunnerAction;
    };

/** Decides when and how often an action is performed by calling `run`. */
export type ActionInterceptor = (action: SimAction, run: () => void) => void;

/** A job submission by a caller. */
export interface Submission {
  readonly id: string;
  readonly taskCount: number;
  readonly isUrgent: boolean;
  readonly isFirstAttempt: boolean;
  /** Time from the submission to the deadline of the job. */
  readonly deadlineMs?: number;
}

interface Link {
  readonly entry: SimEntry;
  readonly runner: SimRunner;
  /** Generation of the runner that the link was opened to. */
  readonly runnerGeneration: number;
}

/** A ticket that returns a data centre to service. */
interface ReturnTicket {
  readonly location: string;
  /** Ticket number; absent until the ticket is acknowledged. */
  number: number | undefined;
}

const ENTRY_NAMES = ['entry-1', 'entry-2', 'entry-3'];
/** Name and data centre of each runner. */
const RUNNERS: readonly (readonly [string, string])[] = [
  ['runner-1', 'north'],
  ['runner-2', 'north'],
  ['runner-3', 'south'],
  ['runner-4', 'south'],
];
const MAX_CLOCK_SKEW_MS = 200;
const RPC_TIMEOUT_MS = 1000;
/** Maximum time that a forwarded query waits for the outcome of the job. */
const MAX_FORWARD_WAIT_MS = 2000;
const JOB_DEADLINE_MS = 20_000;
const REQUEST_DEADLINE_MS = 8000;

/**
 * Simulated cluster of three entries, four runners in two data centres and a
 * store. All randomness comes from one seed. The oracle receives everything
 * that callers and endpoints observe.
 */
export class World {
  readonly queue = new EventQueue();
  readonly oracle = new Oracle();
  readonly network: Network;
  readonly store: SimStore;
  readonly entries: readonly SimEntry[];
  readonly runners: readonly SimRunner[];
  /** Ids of the jobs whose acceptance was reported to a caller. */
  readonly accepted = new Set<string>();
  private readonly _links = new Map<string, Link>();
  private readonly _submissionCounts = new Map<string, number>();
  private readonly _returnTickets: ReturnTicket[] = [];
  private _nextRequest = 1;

  /** @param options - Random seed and action hook. */
  constructor(options: WorldOptions) {
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const { queue, oracle } = this;
    this.network = new Network({ queue, random });
    this.store = new SimStore({ queue, random });
    const intercept =
      options.intercept ??
      ((_action: SimAction, run: () => void) => {
        run();
      });
    const skewMs = (): number => (random() - 0.5) * 2 * MAX_CLOCK_SKEW_MS;
    this.runners = RUNNERS.map(
      ([name, dataCentre]) =>
        new SimRunner({
          name,
          dataCentre,
          queue,
          oracle,
          skewMs: skewMs(),
          random,
          intercept: (process, action, run) => {
            intercept({ role: 'runner', process, action }, run);
          },
          onSend: (linkId, msg) => {
            this._sendToEntry(linkId, msg);
          },
          onCloseLink: (linkId) => {
            this._closeAtEntry(linkId);
          },
          onAnnounce: (incarnation) => {
            // Deferred, because a runner announces itself when it is created,
            // before the entries exist.
            queue.after(0, () => {
              this._announce(name, dataCentre, incarnation);
            });
          },
        }),
    );
    this.entries = ENTRY_NAMES.map((name) =>
      this._createEntry(name, random, skewMs(), intercept),
    );
  }

  /**
   * Submits a job.
   *
   * @param entry - The entry that receives the call.
   * @param submission - The job.
   */
  submit(entry: SimEntry, submission: Submission): void {
    const spec = this._createSpec(entry, submission);
    const keys = spec.tasks.map((task) => task.payload);
    const attempt = (this._submissionCounts.get(spec.id) ?? 0) + 1;
    this._submissionCounts.set(spec.id, attempt);
    keys.forEach((key) => {
      this.oracle.onResubmitted(key);
    });
    entry.dispatchWithReply(
      (replyId) => ({ kind: 'submit', replyId, spec }),
      (reply) => {
        // A desk that submits a job again no longer waits for the earlier
        // attempt, so a refusal of that attempt reaches no caller.
        const isLatestAttempt = this._submissionCounts.get(spec.id) === attempt;
        this._onJobReply(spec.id, isLatestAttempt ? keys : [], reply);
      },
    );
  }

  /**
   * Queries the state of a job.
   *
   * @param entry - The entry that receives the call.
   * @param job - Id of the job.
   * @param cancel - Whether to cancel the job.
   * @param waitMs - Maximum time to wait for the outcome.
   */
  queryJob(
    entry: SimEntry,
    job: string,
    cancel: boolean,
    waitMs: number,
  ): void {
    entry.dispatchWithReply(
      (replyId) => ({
        kind: 'ask',
        replyId,
        job,
        waitMs,
        cancel,
        forward: true,
      }),
      (reply) => {
        if (reply.kind === 'forward') {
          this._forward(entry.name, reply, job);
        } else {
          this._onJobReply(job, [], reply);
        }
      },
    );
  }

  /**
   * Sends a request for a single task.
   *
   * @param entry - The entry that receives the call.
   * @param idempotent - Whether the task may run more than once.
   */
  request(entry: SimEntry, idempotent: boolean): void {
    const number = String(this._nextRequest++);
    const payload = `${idempotent ? 'idempotent' : 'once'}-${number}`;
    const deadlineMs = entry.nowMs + REQUEST_DEADLINE_MS;
    entry.dispatchWithReply(
      (replyId) => ({
        kind: 'request',
        replyId,
        request: {
          desk: 'dakar',
          endpoint: 'levy',
          priority: PriorityClass.Urgent,
          idempotent,
          payload,
          contentType: 'text/plain',
          deadlineMs,
          dataCentres: [],
        },
      }),
      (reply) => {
        this._onRequestReply(payload, reply);
      },
    );
  }

  /**
   * Proposes a ticket that takes a data centre out of service or returns it to
   * service.
   *
   * @param entry - The entry that receives the call.
   * @param dataCentre - Name of the data centre.
   * @param inService - Whether the data centre is to be in service.
   */
  setDataCentreInService(
    entry: SimEntry,
    dataCentre: string,
    inService: boolean,
  ): void {
    const pending: ReturnTicket = { location: dataCentre, number: undefined };
    if (inService) {
      this._returnTickets.push(pending);
      this.oracle.onReturnRequested(dataCentre, this.queue.nowMs);
    }
    this.proposeTicket(
      entry,
      [
        {
          subject: `data-centre/${dataCentre}`,
          setting: { kind: 'data-centre', inService },
        },
      ],
      (number) => {
        pending.number = number;
        if (!inService && !this._hasLaterReturn(dataCentre, number)) {
          this.oracle.onOutOfService(dataCentre, this.queue.nowMs);
        }
      },
    );
  }

  /**
   * Proposes a ticket.
   *
   * @param entry - The entry that receives the call.
   * @param changes - Configuration changes of the ticket.
   * @param onAccepted - Receives the ticket number.
   */
  proposeTicket(
    entry: SimEntry,
    changes: readonly Change[],
    onAccepted: (number: number) => void = () => undefined,
  ): void {
    entry.dispatchWithReply(
      (replyId) => ({
        kind: 'apply-ticket',
        replyId,
        proposal: { author: 'operator', reason: 'test', changes },
      }),
      (reply) => {
        if (reply.kind === 'ticket') {
          onAccepted(reply.receipt.number);
        }
      },
    );
  }

  /** Kills an entry and closes its connections. */
  killEntry(entry: SimEntry): void {
    entry.kill();
    for (const [linkId, link] of this._links) {
      if (link.entry === entry) {
        this._closeAtRunner(linkId);
      }
    }
  }

  /** Kills a runner and closes its connections. */
  killRunner(runner: SimRunner): void {
    runner.kill();
    for (const [linkId, link] of this._links) {
      if (link.runner === runner) {
        this._closeAtEntry(linkId);
      }
    }
  }

  /** @returns Ids of the open links between an entry and a runner. */
  linksBetween(entry: SimEntry, runner: SimRunner): string[] {
    return [...this._links]
      .filter(([, link]) => link.entry === entry && link.runner === runner)
      .map(([linkId]) => linkId);
  }

  /** @returns Ids of the open links of a process. */
  linksOf(process: SimEntry | SimRunner): string[] {
    return [...this._links]
      .filter(([, link]) => link.entry === process || link.runner === process)
      .map(([linkId]) => linkId);
  }

  private _createEntry(
    name: string,
    random: () => number,
    skewMs: number,
    intercept: ActionInterceptor,
  ): SimEntry {
    const { queue, network, store, oracle } = this;
    return new SimEntry({
      name,
      queue,
      network,
      store,
      oracle,
      skewMs,
      random,
      intercept: (process, action, run) => {
        intercept({ role: 'entry', process, action }, run);
      },
      onOpenLink: (linkId, address) => {
        this._openLink(name, linkId, address);
      },
      onSend: (linkId, msg) => {
        this._sendToRunner(linkId, msg);
      },
      onCloseLink: (linkId) => {
        this._closeAtRunner(linkId);
      },
      onFence: (address, req, onReply) => {
        const runner = this._findRunner(address);
        this._rpc(name, address, onReply, (answer) => {
          runner?.post(() => {
            runner.fence(req, answer);
          });
        });
      },
      onPollPeer: (address, req, onReply) => {
        const peer = this._findEntry(address);
        this._rpc(name, address, onReply, (answer) => {
          peer?.post(() => {
            peer.poll(req, answer);
          });
        });
      },
    });
  }

  private _findEntry(name: string): SimEntry | undefined {
    return this.entries.find((entry) => entry.name === name);
  }

  private _findRunner(name: string): SimRunner | undefined {
    return this.runners.find((runner) => runner.name === name);
  }

  /** Sends a call outside the links; its reply is absent after a timeout. */
  private _rpc<T>(
    from: string,
    to: string,
    onReply: (reply: T | undefined) => void,
    serve: (answer: (reply: T) => void) => void,
  ): void {
    let isOpen = true;
    const finish = (reply: T | undefined): void => {
      if (isOpen) {
        isOpen = false;
        onReply(reply);
      }
    };
    this.queue.after(RPC_TIMEOUT_MS, () => {
      finish(undefined);
    });
    this.network.sendDatagram(from, to, () => {
      serve((reply) => {
        this.network.sendDatagram(to, from, () => {
          finish(reply);
        });
      });
    });
  }

  private _announce(
    runner: string,
    dataCentre: string,
    incarnation: string,
  ): void {
    const req = {
      runner,
      incarnation,
      address: runner,
      dataCentre,
      endpoint: 'levy',
    };
    for (const entry of this.entries) {
      this.network.sendDatagram(runner, entry.name, () => {
        entry.post(() => {
          entry.dispatch({ kind: 'announce', req });
        });
      });
    }
  }

  private _openLink(from: string, linkId: string, address: string): void {
    const entry = this._findEntry(from);
    const runner = this._findRunner(address);
    if (!entry || !runner) {
      throw new Error(
        `Cannot open a link to ${address}: no such entry or runner.`,
      );
    }
    this._links.set(linkId, {
      entry,
      runner,
      runnerGeneration: runner.generation,
    });
    if (!runner.isAlive) {
      this._closeAtEntry(linkId);
    }
  }

  private _sendToRunner(linkId: string, msg: EntryMessage): void {
    const link = this._links.get(linkId);
    if (!link) {
      return;
    }
    const { entry, runner, runnerGeneration } = link;
    this.network.sendOnConnection(linkId, entry.name, runner.name, () => {
      if (runner.generation !== runnerGeneration) {
        this._closeAtEntry(linkId);
        return;
      }
      runner.post(() => {
        runner.dispatch({ kind: 'link-message', linkId, msg });
      });
    });
  }

  private _sendToEntry(linkId: string, msg: RunnerMessage): void {
    const link = this._links.get(linkId);
    if (!link) {
      return;
    }
    const { entry, runner } = link;
    this.network.sendOnConnection(linkId, runner.name, entry.name, () => {
      entry.post(() => {
        entry.dispatch({ kind: 'link-message', linkId, msg });
      });
    });
  }

  private _closeAtEntry(linkId: string): void {
    const link = this._links.get(linkId);
    if (link) {
      this._closeLink(linkId, link.runner, link.entry);
    }
  }

  private _closeAtRunner(linkId: string): void {
    const link = this._links.get(linkId);
    if (link) {
      this._closeLink(linkId, link.entry, link.runner);
    }
  }

  /** Notifies the process at the other end that a link is closed. */
  private _closeLink(
    linkId: string,
    from: SimEntry | SimRunner,
    to: SimEntry | SimRunner,
  ): void {
    this.network.sendOnConnection(linkId, from.name, to.name, () => {
      this._links.delete(linkId);
      to.post(() => {
        to.dispatch({ kind: 'link-closed', linkId });
      });
    });
  }

  /** Sends a query to the entry that owns the job, as the entry's host does. */
  private _forward(
    from: string,
    reply: Extract<Reply, { kind: 'forward' }>,
    id: string,
  ): void {
    const owner = this._findEntry(reply.address);
    const { job, cancel } = reply;
    const waitMs = Math.min(reply.waitMs, MAX_FORWARD_WAIT_MS);
    this.network.sendDatagram(from, reply.address, () => {
      owner?.dispatchWithReply(
        (replyId) => ({
          kind: 'ask',
          replyId,
          job,
          waitMs,
          cancel,
          forward: false,
        }),
        (answer) => {
          this._onJobReply(id, [], answer);
        },
      );
    });
  }

  private _onJobReply(id: string, keys: readonly string[], reply: Reply): void {
    const { nowMs } = this.queue;
    if (reply.kind === 'job') {
      this.accepted.add(id);
      this.oracle.onStatus(id, reply.status, nowMs);
      return;
    }
    // A conflict refuses only the new content: the tasks of the job that has
    // the id may run, under the same keys.
    const isRefusal =
      reply.kind === 'error' && reply.error.code !== ErrorCode.Conflict;
    if (isRefusal && reply.error.runState === RunState.NOT_RUN) {
      keys.forEach((key) => {
        this.oracle.onReportedNotRun(key, nowMs);
      });
    }
  }

  private _onRequestReply(payload: string, reply: Reply): void {
    const { nowMs } = this.queue;
    if (reply.kind === 'answer') {
      this.oracle.onAnswer(payload, reply, nowMs);
    } else if (
      reply.kind === 'error' &&
      reply.error.runState === RunState.NOT_RUN
    ) {
      this.oracle.onReportedNotRun(payload, nowMs);
    }
  }

  /**
   * Whether the location was returned to service after a drain ticket, or may
   * have been, by a ticket whose number is not known yet.
   */
  private _hasLaterReturn(
    location: string,
    drainTicketNumber: number,
  ): boolean {
    return this._returnTickets.some(
      (ticket) =>
        ticket.location === location &&
        (ticket.number === undefined || ticket.number > drainTicketNumber),
    );
  }

  private _createSpec(entry: SimEntry, submission: Submission): JobSpec {
    const { id, taskCount, isUrgent, isFirstAttempt } = submission;
    const tasks = Array.from({ length: taskCount }, (_, index) => ({
      endpoint: 'levy',
      payload: `${id}#${String(index)}`,
    }));
    return {
      id,
      desk: 'dakar',
      priority: isUrgent ? PriorityClass.Urgent : PriorityClass.Routine,
      deadlineMs: entry.nowMs + (submission.deadlineMs ?? JOB_DEADLINE_MS),
      dataCentres: [],
      tasks,
      // Jobs with the same id and number of tasks have the same content.
      digest: String(taskCount),
      firstAttempt: isFirstAttempt,
    };
  }
}
