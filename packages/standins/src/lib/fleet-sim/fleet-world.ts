import type {
  BatchContent,
  BatchReply,
  PeerStatus,
  RouteConfig,
  WorkerOrder,
  WorkerReport,
} from '@sapphiremux/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from '../sim/event-queue.js';
import { Network } from '../sim/network.js';
import { StoreMode } from '../sim/faulty-store.js';
import { FleetOracle, STORE } from './fleet-oracle.js';
import { CONFIG_KEY, OUT_PREFIX, SimBatchEntry } from './sim-batch-entry.js';
import { SimDriver } from './sim-driver.js';
import { SimTable } from './sim-table.js';
import { SimWorker, WORKER_ROOM } from './sim-worker.js';

/** Options of {@link FleetWorld}. */
export interface FleetWorldOptions {
  readonly seed: number;
  /** Receives the log lines of the entries. */
  readonly onLog?: (atMs: number, entry: string, text: string) => void;
}

/** A connection from an entry to a worker driver process. */
interface Link {
  readonly entry: SimBatchEntry;
  readonly entryLinkId: number;
  readonly entryCore: string;
  readonly driver: SimDriver;
  readonly driverGeneration: number;
  readonly driverLinkId: number;
  readonly name: string;
  isOpen: boolean;
}

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'];
/** Name, data centre and service of each worker. */
const WORKERS: readonly (readonly [string, string, string])[] = [
  ['vm-1', 'north', 'levy'],
  ['vm-2', 'north', 'levy'],
  ['vm-3', 'south', 'levy'],
  ['vm-4', 'south', 'renewal'],
];
const MAX_SKEW_MS = 200;
const MIN_CLOCK_RATE = 0.98;
const PROBE_TIMEOUT_MS = 400;
const FORWARD_TIMEOUT_MS = 600;
const FORWARDED_WAIT_MS = 550;
/** Time until both sides of a link receive its reset. */
const RESET_MS = 2;
const CALL_DEADLINE_MS = 4000;
/** Callers of volatile jobs wait this long before they submit again. */
const RESEND_MS = 1300;

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
  private readonly _links = new Map<string, Link>();
  private _nextLink = 1;
  private _version = 0;
  private _cutFromStore = new Set<string>();
  /** Earliest next submission of a job; infinite while a submission is open. */
  private readonly _resendAtMs = new Map<string, number>();

  /** @param options - Seed of the random numbers, and the log receiver. */
  constructor(options: FleetWorldOptions) {
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const { queue } = this;
    this.network = new Network({ queue, random });
    this.store = new SimTable({ queue, random });
    this.oracle = new FleetOracle({
      room: WORKER_ROOM,
      now: () => queue.nowMs,
    });
    const workers: SimWorker[] = [];
    this.drivers = WORKERS.map(([name, dataCentre], index) => {
      return new SimDriver({
        name,
        dataCentre,
        queue,
        store: this.store,
        isCutFromStore: () => this._cutFromStore.has(name),
        worker: () => workers[index] ?? fail(name),
        onReport: (linkId, report) => {
          this._toEntry(name, linkId, report);
        },
      });
    });
    WORKERS.forEach(([vm, dataCentre, service], index) => {
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
          onHeartbeat: (worker) => driver.heartbeat(worker),
          onLeave: (id) => {
            driver.post(() => {
              driver.dispatch({ kind: 'leave', id });
            });
          },
        }),
      );
    });
    this.workers = workers;
    this.entries = ENTRIES.map((name, index) =>
      this._createEntry(name, index, random, options),
    );
  }

  /** Writes a configuration that routes the queue to a service. */
  configure(service: string): void {
    this._version += 1;
    const config: RouteConfig = {
      version: this._version,
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
    this.oracle.onConfig(this._version);
  }

  /** Takes a data centre out of service, or returns it to service. */
  evacuate(dataCentre: string, isOut: boolean): void {
    this.store.put(`${OUT_PREFIX}${dataCentre}`, isOut ? '{}' : null);
    this.oracle.onEvacuated(dataCentre, isOut);
  }

  /**
   * Submits a job. Does nothing if the entry is down, is paused or has no
   * route, or if the job may not be submitted again yet.
   *
   * @param entry - The entry that receives the call.
   * @param id - Id of the job.
   * @param content - The job without the service, which its queue determines.
   */
  submit(
    entry: SimBatchEntry,
    id: string,
    content: Omit<BatchContent, 'service'>,
  ): void {
    const route = entry.core.routes.match('desk.example', '/q/');
    const { oracle, queue } = this;
    const version = entry.core.routes.version ?? 0;
    const { isVolatile } = content;
    const isEarly = queue.nowMs < (this._resendAtMs.get(id) ?? 0);
    if (!entry.isAlive || entry.isPaused || !route || isEarly) {
      return;
    }
    if (isVolatile) {
      this._resendAtMs.set(id, Number.POSITIVE_INFINITY);
    }
    oracle.onVersion(entry.name, entry.incarnation, version);
    const whole = { ...content, service: route.service };
    oracle.onSubmit(id, whole);
    let isOpen = true;
    const onReply = (reply: BatchReply | undefined): void => {
      if (isOpen) {
        isOpen = false;
        oracle.onSubmitReply(id, reply);
        this._resendAtMs.set(id, isVolatile ? queue.nowMs + RESEND_MS : 0);
      }
    };
    const deadlineMs = entry.now + CALL_DEADLINE_MS;
    const leave = entry.ask(
      (replyId) => ({
        kind: 'submit',
        replyId,
        id,
        content: whole,
        deadlineMs,
      }),
      onReply,
    );
    queue.after(CALL_DEADLINE_MS, () => {
      if (isOpen) {
        onReply(undefined);
        leave();
      }
    });
  }

  /**
   * Requests the state of a job, or cancels the job.
   *
   * @param entry - The entry that receives the call.
   * @param id - Id of the job.
   * @param kind - Whether to read the state or to cancel.
   * @param onReply - Receives the answer.
   */
  ask(
    entry: SimBatchEntry,
    id: string,
    kind: 'status' | 'cancel',
    onReply: (reply: BatchReply | undefined) => void = () => undefined,
  ): void {
    const { oracle } = this;
    if (kind === 'cancel') {
      oracle.onCancel(id);
    }
    const deadlineMs = entry.now + CALL_DEADLINE_MS;
    entry.ask(
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

  /** Kills an entry and resets its links. */
  killEntry(entry: SimBatchEntry): void {
    this.oracle.onTrouble(entry.name, false);
    entry.kill();
    this._breakLinks((link) => link.entry === entry);
  }

  /** Kills a worker driver process and resets its links; the worker runs on. */
  killDriver(driver: SimDriver): void {
    this.oracle.onTrouble(driver.name, false);
    driver.kill();
    this._breakLinks((link) => link.driver === driver);
  }

  /** Disconnects a process from the store. */
  cutStore(name: string): void {
    this.oracle.onTrouble(name, false);
    this._cutFromStore.add(name);
  }

  /** Sets how the store behaves. */
  setStore(mode: StoreMode): void {
    this.store.mode = mode;
    this.oracle.onTrouble(STORE, mode === StoreMode.Up);
  }

  /** Ends all network faults, pauses and outages, and restarts dead processes. */
  recover(): void {
    this._cutFromStore = new Set();
    this.network.heal();
    this.setStore(StoreMode.Up);
    for (const process of [...this.entries, ...this.drivers]) {
      process.resume();
      process.restart();
      this.oracle.onTrouble(process.name, true);
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
    { onLog }: FleetWorldOptions,
  ): SimBatchEntry {
    const { queue } = this;
    const entry: SimBatchEntry = new SimBatchEntry({
      name,
      dataCentre: index === 0 ? 'north' : 'south',
      queue,
      store: this.store,
      skewMs: (random() - 0.5) * 2 * MAX_SKEW_MS,
      random,
      isCutFromStore: () => this._cutFromStore.has(name),
      onOpenLink: (linkId, address) => {
        this._openLink(name, linkId, address);
      },
      onCloseLink: (linkId) => {
        this._closeFromEntry(name, linkId);
      },
      onOrder: (linkId, order) => {
        this._toDriver(name, linkId, order);
      },
      onProbe: (address, onReply) => {
        this._request<PeerStatus>(
          name,
          address,
          PROBE_TIMEOUT_MS,
          onReply,
          (peer, back) => {
            back(peer.core.statusOf(peer.now));
          },
        );
      },
      onForwardCancel: (address, id, onReply) => {
        this._request<boolean>(
          name,
          address,
          FORWARD_TIMEOUT_MS,
          (isHandled) => {
            onReply(isHandled ?? false);
          },
          (peer, back) => {
            if (!peer.core.owns(id)) {
              back(false);
              return;
            }
            const deadlineMs = peer.now + FORWARDED_WAIT_MS;
            peer.ask(
              (replyId) => ({ kind: 'cancel', replyId, id, deadlineMs }),
              (reply) => {
                back(reply?.kind === 'cancelled');
              },
            );
          },
        );
      },
      onLog: (message, fields) => {
        onLog?.(queue.nowMs, name, `${message} ${JSON.stringify(fields)}`);
      },
    });
    return entry;
  }

  private _request<T>(
    from: string,
    to: string,
    timeoutMs: number,
    onReply: (answer: T | undefined) => void,
    serve: (peer: SimBatchEntry, back: (answer: T) => void) => void,
  ): void {
    let isOpen = true;
    const settle = (answer: T | undefined): void => {
      if (isOpen) {
        isOpen = false;
        onReply(answer);
      }
    };
    const peer = this.entries.find((entry) => entry.name === to);
    this.network.datagram(from, to, () => {
      peer?.post(() => {
        serve(peer, (answer) => {
          this.network.datagram(to, from, () => {
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
      entryCore: entry.incarnation,
      driver,
      driverGeneration: driver.generation,
      driverLinkId: this._nextLink++,
      name: `${name}/${address}/${String(this._nextLink)}`,
      isOpen: true,
    };
    this._links.set(link.name, link);
    if (!driver.isAlive) {
      this._breakLinks((other) => other === link);
      return;
    }
    this.network.stream(link.name, name, address, () => {
      this._atDriver(link, () => {
        driver.dispatch({ kind: 'link-open', linkId: link.driverLinkId });
      });
    });
  }

  private _find(isIt: (link: Link) => boolean): Link | undefined {
    return [...this._links.values()].find((link) => link.isOpen && isIt(link));
  }

  private _toDriver(name: string, linkId: number, order: WorkerOrder): void {
    const link = this._find(
      ({ entry, entryLinkId, entryCore }) =>
        entry.name === name &&
        entryLinkId === linkId &&
        entryCore === entry.incarnation,
    );
    if (!link) {
      return;
    }
    const { driver, driverLinkId } = link;
    this.network.stream(link.name, name, driver.name, () => {
      this._atDriver(link, () => {
        driver.dispatch({ kind: 'order', linkId: driverLinkId, order });
      });
    });
  }

  private _toEntry(name: string, linkId: number, report: WorkerReport): void {
    const link = this._find(
      ({ driver, driverLinkId, driverGeneration }) =>
        driver.name === name &&
        driverLinkId === linkId &&
        driverGeneration === driver.generation,
    );
    if (!link) {
      return;
    }
    const { entry, entryLinkId } = link;
    this.network.stream(link.name, name, entry.name, () => {
      this._atEntry(link, () => {
        entry.dispatch({ kind: 'report', linkId: entryLinkId, report });
      });
    });
  }

  private _closeFromEntry(name: string, linkId: number): void {
    const link = this._find(
      ({ entry, entryLinkId }) => entry.name === name && entryLinkId === linkId,
    );
    if (!link) {
      return;
    }
    link.isOpen = false;
    this._links.delete(link.name);
    const { driver, driverLinkId } = link;
    this.network.stream(link.name, name, driver.name, () => {
      this._atDriver(link, () => {
        driver.dispatch({ kind: 'link-closed', linkId: driverLinkId });
      });
    });
  }

  /** Resets links; both sides are notified if they still run. */
  private _breakLinks(isBroken: (link: Link) => boolean): void {
    for (const link of [...this._links.values()].filter(isBroken)) {
      link.isOpen = false;
      this._links.delete(link.name);
      this.queue.after(RESET_MS, () => {
        this._atDriver(link, () => {
          const { driver, driverLinkId } = link;
          driver.dispatch({ kind: 'link-closed', linkId: driverLinkId });
        });
        this._atEntry(link, () => {
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

  private _atDriver(link: Link, run: () => void): void {
    if (link.driver.generation === link.driverGeneration) {
      link.driver.post(run);
    }
  }

  private _atEntry(link: Link, run: () => void): void {
    link.entry.post(() => {
      if (link.entry.incarnation === link.entryCore) {
        run();
      }
    });
  }
}

const fail = (name: string): never => {
  throw new Error(`no such VM: ${name}`);
};
