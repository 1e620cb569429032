import {
  DEFAULT_RUN_BOUNDS,
  deriveRunLimits,
  jobIdOf,
} from '@sapphiremux/core';
import type {
  BatchContent,
  BatchReply,
  PeerStatus,
  RouteConfig,
  RunLimits,
  WorkerOrder,
  WorkerReport,
} from '@sapphiremux/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from '../sim/event-queue.js';
import { Network } from '../sim/network.js';
import { StoreMode } from '../sim/faulty-store.js';
import { FleetOracle, STORE_NAME } from './fleet-oracle.js';
import {
  CONFIG_KEY,
  EVACUATION_PREFIX,
  GRACE_MS,
  SimBatchEntry,
} from './sim-batch-entry.js';
import type { HostFault } from './sim-batch-entry.js';
import { SimDriver } from './sim-driver.js';
import { SimTable } from './sim-table.js';
import {
  HEARTBEAT_MS,
  RunMoment,
  SimWorker,
  WORKER_CAPACITY,
  WorkerMode,
} from './sim-worker.js';
import { StopCallers } from './stop-callers.js';

/** Options of {@link FleetWorld}. */
export interface FleetWorldOptions {
  readonly seed: number;
  /** Number of entries and workers; the fleet of the fuzzer if absent. */
  readonly size?: { readonly entries: number; readonly workers: number };
  /**
   * Time that callers of volatile jobs wait before they submit again; the default
   * of the product if absent.
   */
  readonly resendMs?: number | undefined;
  /**
   * Whether workers start again under the id that they had; by default in every
   * second seed.
   */
  readonly keepsWorkerIds?: boolean | undefined;
  /**
   * Whether workers that start again send their first heartbeat at any time within
   * its interval; at once by default.
   */
  readonly announcesLate?: boolean | undefined;
  /** Time limits of runs other than those that follow from `resendMs`. */
  readonly limits?: Partial<RunLimits> | undefined;
  /** A fault of all entries; none if absent. */
  readonly hostFault?: HostFault | undefined;
  /** Receives the number of actions of each kind that a process carries out. */
  readonly onAction?: (role: 'entry' | 'driver', kind: string) => void;
  /** Receives the log lines of the entries. */
  readonly onLog?: (atMs: number, entry: string, text: string) => void;
}

/** A connection from an entry to a worker driver process. */
interface Link {
  readonly entry: SimBatchEntry;
  readonly entryLinkId: number;
  /** Incarnation of the entry that opened the link. */
  readonly entryIncarnation: string;
  readonly driver: SimDriver;
  /** Generation of the driver process to which the link was opened. */
  readonly driverGeneration: number;
  readonly driverLinkId: number;
  readonly name: string;
  isOpen: boolean;
}

/** A run at one of its moments. */
export interface StruckRun {
  /** Entry that owns the job. */
  readonly owner: SimBatchEntry;
  /** Index of the worker. */
  readonly worker: number;
  readonly task: string;
}

/** Where and when a caller sends a job again. */
export interface Resend {
  readonly to: SimBatchEntry;
  /** Time beyond {@link FleetWorldOptions.resendMs}. */
  readonly delayMs: number;
}

const ENTRY_NAMES = ['entry-1', 'entry-2', 'entry-3'];
/** Name, data centre and service of each worker. */
const WORKER_PLACEMENTS: readonly (readonly [string, string, string])[] = [
  ['vm-1', 'north', 'levy'],
  ['vm-2', 'north', 'levy'],
  ['vm-3', 'south', 'levy'],
  ['vm-4', 'south', 'renewal'],
];
/** Maximum offset of an entry's clock from virtual time, in both directions. */
const MAX_CLOCK_SKEW_MS = 200;
/** Rate of the slowest clock of a worker. */
const MIN_CLOCK_RATE = 0.98;
// Timeouts of requests between entries, as in the real entry process.
const PROBE_TIMEOUT_MS = 400;
const FORWARD_TIMEOUT_MS = 600;
/**
 * Maximum wait at the owner for a forwarded cancel. Shorter than
 * {@link FORWARD_TIMEOUT_MS}, so that the reply arrives in time.
 */
const FORWARDED_CANCEL_WAIT_MS = 550;
/** Time until both sides of a link receive its reset. */
const RESET_DELAY_MS = 2;
const CALL_DEADLINE_MS = 4000;
/** Longest interval between two retransmissions of a connection after a cut. */
const MAX_RETRANSMISSION_MS = 3000;

/**
 * A simulated fleet in virtual time: entries, worker drivers, workers, the
 * store and the network between them. An oracle checks the rules of the
 * platform. All randomness comes from the seed.
 */
export class FleetWorld {
  readonly queue = new EventQueue();
  readonly oracle: FleetOracle;
  readonly network: Network;
  readonly store: SimTable;
  readonly entries: readonly SimBatchEntry[];
  readonly drivers: readonly SimDriver[];
  readonly workers: readonly SimWorker[];
  private readonly _resendMs: number;
  private readonly _limits: RunLimits;
  private readonly _links = new Map<string, Link>();
  private _nextLinkId = 1;
  private readonly _stopCallers = new StopCallers(this);
  private _stopsEndMs = 0;
  private _configVersion = 0;
  private _disconnectedFromStore = new Set<string>();
  /**
   * Earliest next submission of each job. Infinite while a submission of a
   * volatile job is open, because its caller waits for the reply.
   */
  private readonly _resendAtMs = new Map<string, number>();
  private _hasRecovered = false;
  private _awaitedRuns: {
    readonly moment: RunMoment;
    readonly then: (run: StruckRun) => void;
  }[] = [];
  /** Functions that reset the connections of callers, by entry. */
  private readonly _callerResets = new Map<SimBatchEntry, Set<() => void>>();

  /** @param options - Seed of the random numbers, and the log receiver. */
  constructor(options: FleetWorldOptions) {
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const { queue } = this;
    this._resendMs = options.resendMs ?? DEFAULT_RUN_BOUNDS.resendMs;
    const bounds = { ...DEFAULT_RUN_BOUNDS, resendMs: this._resendMs };
    const limits = deriveRunLimits(bounds).unwrap();
    this._limits = { ...limits, ...options.limits };
    this.network = new Network({
      queue,
      random,
      maxRetransmissionMs: MAX_RETRANSMISSION_MS,
    });
    this.store = new SimTable({ queue, random, appliesLate: true });
    this.oracle = new FleetOracle({
      workerCapacity: WORKER_CAPACITY,
      heartbeatMs: HEARTBEAT_MS,
      now: () => queue.nowMs,
    });
    const workers: SimWorker[] = [];
    const heartbeats = xoroshiro128plus(options.seed + 1);
    const { keepsWorkerIds = options.seed % 2 === 0, announcesLate = false } =
      options;
    const firstHeartbeatMs = (): number =>
      announcesLate ? HEARTBEAT_MS * uniformFloat64(heartbeats) : 0;
    const placements = placementsOf(options);
    this.drivers = placements.map(([name, dataCentre], index) => {
      return new SimDriver({
        onAction: (kind) => options.onAction?.('driver', kind),
        onStartSent: (task) => {
          this._onRun(RunMoment.Sent, index, task);
        },
        name,
        dataCentre,
        queue,
        store: this.store,
        isDisconnectedFromStore: () => this._disconnectedFromStore.has(name),
        worker: () => workers[index] ?? fail(name),
        limits: this._limits,
        random,
        onReport: (linkId, report) => {
          this._sendReport(name, linkId, report);
        },
        onCloseLink: (linkId) => {
          this._resetLinks(
            (link) => link.driver.name === name && link.driverLinkId === linkId,
          );
        },
      });
    });
    placements.forEach(([vm, dataCentre, service], index) => {
      const driver = this.drivers[index] ?? fail(vm);
      workers.push(
        new SimWorker({
          vm,
          dataCentre,
          service,
          labels: [vm],
          queue,
          oracle: this.oracle,
          random,
          clockRate: MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * random(),
          keepsId: keepsWorkerIds,
          firstHeartbeatMs,
          onRun: (moment, task) => {
            this._onRun(moment, index, task);
          },
          onHeartbeat: (worker) => driver.heartbeat(worker),
          onLeave: (id) => {
            driver.leave(id);
          },
        }),
      );
    });
    this.workers = workers;
    this.entries = entryNamesOf(options).map((name, index) =>
      this._createEntry(name, index, random, options),
    );
  }

  /** Writes a configuration that routes the queue to a service. */
  configure(service: string): void {
    this._configVersion += 1;
    const config: RouteConfig = {
      version: this._configVersion,
      maxBodyBytes: 65_536,
      routes: [
        {
          name: 'q',
          host: 'desk.example',
          pathPrefix: '/q/',
          service,
          priority: 0,
          attempts: 2,
          stretch: 1.6,
          slackMs: 60,
          timeoutMs: 3000,
          hasAdvice: false,
        },
      ],
    };
    this.store.put(CONFIG_KEY, JSON.stringify(config));
    this.oracle.onConfig(this._configVersion);
  }

  /** Takes a data centre out of service, or returns it to service. */
  evacuate(dataCentre: string, isOutOfService: boolean): void {
    this.store.put(
      `${EVACUATION_PREFIX}${dataCentre}`,
      isOutOfService ? '{}' : null,
    );
    this.oracle.onEvacuation(dataCentre, isOutOfService);
  }

  /**
   * Submits a job. Does nothing if the entry is down, is paused or has no
   * route, or if the job may not be submitted again yet.
   *
   * @param entry - The entry that receives the call.
   * @param id - Id of the job.
   * @param content - The job without the service, which its queue determines.
   * @param resend - Where and when the caller of a volatile job sends it again
   *   if the connection breaks or the job may have run; never if absent.
   */
  submit(
    entry: SimBatchEntry,
    id: string,
    content: Omit<BatchContent, 'service'>,
    resend?: Resend,
  ): void {
    const route = entry.core.routes.match('desk.example', '/q/');
    const { oracle, queue } = this;
    const version = entry.core.routes.version ?? 0;
    const { isVolatile } = content;
    const isBeforeResend = queue.nowMs < (this._resendAtMs.get(id) ?? 0);
    if (!entry.isAlive || entry.isPaused || !route || isBeforeResend) {
      return;
    }
    if (isVolatile) {
      this._resendAtMs.set(id, Number.POSITIVE_INFINITY);
    }
    oracle.onVersion(entry.name, entry.incarnation, version);
    const fullContent = { ...content, service: route.service };
    oracle.onSubmit(id, fullContent);
    let isOpen = true;
    const onReply = (reply: BatchReply | undefined): void => {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      this._callerResets.get(entry)?.delete(reset);
      oracle.onSubmitReply(id, reply);
      this._resendAtMs.set(id, isVolatile ? queue.nowMs + this._resendMs : 0);
      const mayHaveRun = reply === undefined || reply.kind === 'in-doubt';
      if (isVolatile && resend && mayHaveRun) {
        queue.after(this._resendMs + resend.delayMs, () => {
          this.submit(resend.to, id, content);
        });
      }
    };
    const reset = (): void => {
      onReply(undefined);
      disconnect();
    };
    this._callerResets.set(
      entry,
      (this._callerResets.get(entry) ?? new Set()).add(reset),
    );
    const disconnect = entry.sendRequest(
      (replyId) => ({
        kind: 'submit',
        replyId,
        id,
        content: fullContent,
        // Counted from when the entry reads the call, as by the real server.
        deadlineMs: entry.nowMs + CALL_DEADLINE_MS,
      }),
      onReply,
    );
    queue.after(CALL_DEADLINE_MS, () => {
      if (isOpen) {
        reset();
      }
    });
  }

  /**
   * Resets the connections of callers that wait for the reply to a submission.
   * They learn of it at once, the entry when it next polls for events.
   *
   * @param entry - The entry that the callers are connected to.
   * @param isPartial - Whether every second connection is spared.
   */
  resetCallers(entry: SimBatchEntry, isPartial: boolean): void {
    const resets = [...(this._callerResets.get(entry) ?? [])];
    resets
      .filter((_, index) => !isPartial || index % 2 === 0)
      .forEach((reset) => {
        reset();
      });
  }

  /**
   * Requests the state of a job, or cancels the job.
   *
   * @param entry - The entry that receives the call.
   * @param id - Id of the job.
   * @param kind - Whether to read the state or to cancel.
   * @param onReply - Receives the reply.
   */
  sendJobRequest(
    entry: SimBatchEntry,
    id: string,
    kind: 'status' | 'cancel',
    onReply: (reply: BatchReply | undefined) => void = () => undefined,
  ): void {
    const { oracle } = this;
    if (kind === 'cancel') {
      oracle.onCancel(id);
    }
    const deadlineMs = entry.nowMs + CALL_DEADLINE_MS;
    entry.sendRequest(
      (replyId) => ({ kind, replyId, id, deadlineMs }),
      (reply) => {
        if (kind === 'cancel') {
          oracle.onCancelReply(id, reply);
        } else {
          oracle.onStatus(id, entry.name, reply);
        }
        onReply(reply);
      },
    );
  }

  /** Requests the number of pending jobs. */
  sendCount(entry: SimBatchEntry): void {
    entry.sendRequest(
      (replyId) => ({ kind: 'count', replyId, queue: 'q' }),
      () => undefined,
    );
  }

  /**
   * Signals an entry to stop. Callers go on calling it until it has ended.
   *
   * @param entry - The entry.
   * @param startAfterMs - Time from its end until it starts again; never if
   *   absent.
   * @returns Whether a planned stop has begun now.
   */
  stopEntry(entry: SimBatchEntry, startAfterMs?: number): boolean {
    const { queue, oracle } = this;
    const hasBegun = entry.stop((end) => {
      this._resetLinks((link) => link.entry === entry);
      oracle.onStopEnd(entry.name, end);
      if (startAfterMs !== undefined) {
        queue.after(startAfterMs, () => {
          entry.restart();
        });
      }
    });
    if (hasBegun) {
      oracle.onFault(entry.name, false);
      this._stopsEndMs = queue.nowMs + GRACE_MS;
      this._stopCallers.begin(entry);
    }
    return hasBegun;
  }

  /** Virtual time by which all planned stops have ended. */
  get stopsEndMs(): number {
    return this._stopsEndMs;
  }

  /**
   * Waits for a moment of the next run whose job has an owner.
   *
   * @param moment - The moment.
   * @param then - Called once, in an event of its own.
   */
  atNextRun(moment: RunMoment, then: (run: StruckRun) => void): void {
    this._awaitedRuns.push({ moment, then });
  }

  /** Runs a callback later, unless {@link recover} is called before. */
  beforeRecovery(delayMs: number, run: () => void): void {
    this.queue.after(delayMs, () => {
      if (!this._hasRecovered) {
        run();
      }
    });
  }

  /** Kills an entry and resets its links. */
  killEntry(entry: SimBatchEntry): void {
    this.oracle.onFault(entry.name, false);
    entry.kill();
    this._resetLinks((link) => link.entry === entry);
  }

  /** Kills a worker driver process and resets its links; the worker runs on. */
  killDriver(driver: SimDriver): void {
    this.oracle.onFault(driver.name, false);
    driver.kill();
    this._resetLinks((link) => link.driver === driver);
  }

  /** Disconnects a process from the store. */
  disconnectFromStore(name: string): void {
    this.oracle.onFault(name, false);
    this._disconnectedFromStore.add(name);
  }

  /** Sets how a worker behaves. */
  setWorkerMode(worker: SimWorker, mode: WorkerMode): void {
    if (worker.mode !== mode) {
      worker.mode = mode;
      this.oracle.onWorkerFault(worker.vm, mode === WorkerMode.Healthy);
    }
  }

  /** Sets how the store behaves. */
  setStore(mode: StoreMode): void {
    this.store.mode = mode;
    this.oracle.onFault(STORE_NAME, mode === StoreMode.Up);
  }

  /**
   * Ends all cuts, stalls, pauses and outages, and restarts processes and workers
   * that have ended. A silenced link stays silent; entries have to replace it.
   */
  recover(): void {
    this._disconnectedFromStore = new Set();
    this._awaitedRuns = [];
    this._hasRecovered = true;
    this.network.heal();
    this.setStore(StoreMode.Up);
    for (const process of [...this.entries, ...this.drivers]) {
      process.resume();
      process.speedUp();
      process.restart();
      this.oracle.onFault(process.name, true);
    }
    for (const worker of this.workers) {
      worker.boot();
    }
  }

  /** @returns Names of the open links between two processes. */
  linksBetween(entry: SimBatchEntry, driver: SimDriver): string[] {
    return [...this._links.values()]
      .filter((link) => link.entry === entry && link.driver === driver)
      .map((link) => link.name);
  }

  private _createEntry(
    name: string,
    index: number,
    random: () => number,
    { onLog, onAction, hostFault }: FleetWorldOptions,
  ): SimBatchEntry {
    const { queue } = this;
    const entry: SimBatchEntry = new SimBatchEntry({
      name,
      dataCentre: index === 0 ? 'north' : 'south',
      queue,
      store: this.store,
      skewMs: (random() - 0.5) * 2 * MAX_CLOCK_SKEW_MS,
      random,
      limits: this._limits,
      hostFault,
      isDisconnectedFromStore: () => this._disconnectedFromStore.has(name),
      onAction: (kind) => onAction?.('entry', kind),
      onOpenLink: (linkId, address) => {
        this._openLink(name, linkId, address);
      },
      onCloseLink: (linkId) => {
        this._closeLink(name, linkId);
      },
      onOrder: (linkId, order) => {
        this._sendOrder(name, linkId, order);
      },
      onProbe: (address, onReply) => {
        this._sendPeerRequest<PeerStatus>(
          name,
          address,
          PROBE_TIMEOUT_MS,
          onReply,
          (peer, respond) => {
            respond(peer.core.statusOf(peer.nowMs));
          },
        );
      },
      onForwardCancel: (address, id, onReply) => {
        this._sendPeerRequest<boolean>(
          name,
          address,
          FORWARD_TIMEOUT_MS,
          (isHandled) => {
            onReply(isHandled ?? false);
          },
          (peer, respond) => {
            if (!peer.core.owns(id)) {
              respond(false);
              return;
            }
            const deadlineMs = peer.nowMs + FORWARDED_CANCEL_WAIT_MS;
            peer.sendRequest(
              (replyId) => ({ kind: 'cancel', replyId, id, deadlineMs }),
              (reply) => {
                respond(reply?.kind === 'cancelled');
              },
            );
          },
        );
      },
      onLateStarts: (address, notes) => {
        const peer = this.entries.find((other) => other.name === address);
        this.network.sendDatagram(name, address, () => {
          peer?.post(() => {
            peer.dispatch({ kind: 'late-starts', notes });
          });
        });
      },
      onLog: (message, fields) => {
        this.oracle.onLog(name, message, fields);
        onLog?.(queue.nowMs, name, `${message} ${JSON.stringify(fields)}`);
      },
    });
    return entry;
  }

  private _onRun(moment: RunMoment, worker: number, task: string): void {
    const awaited = this._awaitedRuns.find((run) => run.moment === moment);
    if (!awaited) {
      return;
    }
    const id = jobIdOf(task);
    const owner = this.entries.find(
      (entry) => entry.isAlive && entry.core.owns(id),
    );
    if (owner) {
      this._awaitedRuns = this._awaitedRuns.filter((run) => run !== awaited);
      this.queue.after(0, () => {
        awaited.then({ owner, worker, task });
      });
    }
  }

  private _sendPeerRequest<T>(
    from: string,
    to: string,
    timeoutMs: number,
    onReply: (answer: T | undefined) => void,
    handleRequest: (peer: SimBatchEntry, respond: (answer: T) => void) => void,
  ): void {
    let isOpen = true;
    const settle = (answer: T | undefined): void => {
      if (isOpen) {
        isOpen = false;
        onReply(answer);
      }
    };
    const peer = this.entries.find((entry) => entry.name === to);
    this.network.sendDatagram(from, to, () => {
      peer?.post(() => {
        handleRequest(peer, (answer) => {
          this.network.sendDatagram(to, from, () => {
            settle(answer);
          });
        });
      });
    });
    this.queue.after(timeoutMs, () => {
      settle(undefined);
    });
  }

  private _openLink(name: string, entryLinkId: number, address: string): void {
    const entry = this.entries.find((other) => other.name === name);
    const driver = this.drivers.find((other) => other.name === address);
    // Entries open no links from their constructor, so both lists are complete.
    if (!entry || !driver) {
      return;
    }
    const link: Link = {
      entry,
      entryLinkId,
      entryIncarnation: entry.incarnation,
      driver,
      driverGeneration: driver.generation,
      driverLinkId: this._nextLinkId++,
      name: `${name}/${address}/${String(this._nextLinkId)}`,
      isOpen: true,
    };
    this._links.set(link.name, link);
    if (!driver.isAlive) {
      this._resetLinks((other) => other === link);
      return;
    }
    this.network.sendOnConnection(link.name, name, address, () => {
      this._runAtDriver(link, false, () => {
        driver.dispatch({ kind: 'link-open', linkId: link.driverLinkId });
      });
    });
  }

  private _findOpenLink(matches: (link: Link) => boolean): Link | undefined {
    return [...this._links.values()].find(
      (link) => link.isOpen && matches(link),
    );
  }

  private _sendOrder(name: string, linkId: number, order: WorkerOrder): void {
    const link = this._findOpenLink(
      ({ entry, entryLinkId, entryIncarnation }) =>
        entry.name === name &&
        entryLinkId === linkId &&
        entryIncarnation === entry.incarnation,
    );
    if (!link) {
      return;
    }
    const { driver, driverLinkId } = link;
    this.network.sendOnConnection(link.name, name, driver.name, () => {
      this._runAtDriver(link, false, () => {
        driver.dispatch({ kind: 'order', linkId: driverLinkId, order });
      });
    });
  }

  private _sendReport(
    name: string,
    linkId: number,
    report: WorkerReport,
  ): void {
    const link = this._findOpenLink(
      ({ driver, driverLinkId, driverGeneration }) =>
        driver.name === name &&
        driverLinkId === linkId &&
        driverGeneration === driver.generation,
    );
    if (!link) {
      return;
    }
    const { entry, entryLinkId } = link;
    this.network.sendOnConnection(link.name, name, entry.name, () => {
      this._runAtEntry(link, false, () => {
        entry.dispatch({ kind: 'report', linkId: entryLinkId, report });
      });
    });
  }

  private _closeLink(name: string, linkId: number): void {
    const link = this._findOpenLink(
      ({ entry, entryLinkId }) => entry.name === name && entryLinkId === linkId,
    );
    if (!link) {
      return;
    }
    link.isOpen = false;
    this._links.delete(link.name);
    const { driver, driverLinkId } = link;
    this.network.sendOnConnection(link.name, name, driver.name, () => {
      // A process reads the end of a connection one poll after the data before it.
      this.queue.after(0, () => {
        this._runAtDriver(link, true, () => {
          driver.dispatch({ kind: 'link-closed', linkId: driverLinkId });
        });
      });
    });
  }

  /** Resets links; both sides are notified if they still run. */
  private _resetLinks(isAffected: (link: Link) => boolean): void {
    for (const link of [...this._links.values()].filter(isAffected)) {
      link.isOpen = false;
      this._links.delete(link.name);
      this.queue.after(RESET_DELAY_MS, () => {
        this._runAtDriver(link, true, () => {
          const { driver, driverLinkId } = link;
          driver.dispatch({ kind: 'link-closed', linkId: driverLinkId });
        });
        this._runAtEntry(link, true, () => {
          const { entry, entryLinkId } = link;
          entry.dispatch({
            kind: 'link-closed',
            linkId: entryLinkId,
            detail: 'reset',
          });
        });
      });
    }
  }

  private _runAtDriver(link: Link, isClose: boolean, run: () => void): void {
    if (link.driver.generation === link.driverGeneration) {
      link.driver.post(run, { connection: link.name, isClose });
    }
  }

  private _runAtEntry(link: Link, isClose: boolean, run: () => void): void {
    link.entry.post(
      () => {
        if (link.entry.incarnation === link.entryIncarnation) {
          run();
        }
      },
      { connection: link.name, isClose },
    );
  }
}

/** Names of the entries of a fleet. */
const entryNamesOf = ({ size }: FleetWorldOptions): readonly string[] =>
  size
    ? Array.from({ length: size.entries }, (_, i) => `entry-${String(i + 1)}`)
    : ENTRY_NAMES;

/** Name, data centre and service of each worker of a fleet. */
const placementsOf = ({
  size,
}: FleetWorldOptions): readonly (readonly [string, string, string])[] =>
  size
    ? Array.from({ length: size.workers }, (_, i) => [
        `vm-${String(i + 1)}`,
        i % 2 === 0 ? 'north' : 'south',
        'levy',
      ])
    : WORKER_PLACEMENTS;

const fail = (name: string): never => {
  throw new Error(`no such VM: ${name}`);
};
