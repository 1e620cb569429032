import { expect } from 'earl';
import type { WorkerReport } from '../lib/messages.js';
import type { BatchAction } from '../lib/process/batch-events.js';
import { PeerMonitor, ProbeScope } from '../lib/process/peer-monitor.js';
import { WorkerFleet } from '../lib/process/worker-fleet.js';
import { Shortage } from '../lib/process/worker-subset.js';
import { WorkerView } from '../lib/process/worker-view.js';
import type { PlacedRun } from '../lib/process/worker-view.js';
import { runKey } from '../lib/request/run-key.js';
import { reportOf } from './entry-harness.js';

const ROW = { address: 'w0', dataCentre: 'dc0', incarnation: 'p1' };
const CAPACITY = { cpuMilli: 16_000, memoryMb: 4000, accelerators: 0 };

const runOf = (
  sequence: number,
  cpuMilli: number,
  isSuspect = false,
): PlacedRun => ({
  job: 'j',
  task: 't',
  run: 1,
  needs: { cpuMilli, memoryMb: 0, accelerators: 0 },
  isSuspect,
  isVolatile: true,
  sequence,
});

const freeReport = (sequence: number, cpuMilli: number): WorkerReport =>
  reportOf({ sequence, free: { ...CAPACITY, cpuMilli } });

it('free capacity follows runs and reports, whatever their order', () => {
  const view = new WorkerView('w0', ROW);
  view.applyReport(freeReport(0, 16_000), 0);
  const free = (): number => view.free.cpuMilli;
  expect(free()).toEqual(16_000);
  view.placed.set('a', runOf(1, 2000));
  view.placed.set('b', runOf(2, 3000));
  expect(free()).toEqual(11_000);
  // The report counts the run of order 1 as used already.
  view.applyReport(freeReport(1, 14_000), 1);
  expect(free()).toEqual(11_000);
  view.placed.delete('a');
  expect(free()).toEqual(11_000);
  view.placed.delete('b');
  expect(free()).toEqual(14_000);
  // Needs beyond the reported rest count up to it only, and come back in full.
  view.placed.set('c', runOf(3, 13_000));
  view.placed.set('d', runOf(4, 5000));
  expect(free()).toEqual(0);
  view.placed.delete('c');
  expect(free()).toEqual(9000);
  view.placed.set('d', runOf(4, 1000));
  expect(free()).toEqual(13_000);
  // A new link starts to count orders again, so runs of the old one count.
  view.placed.set('e', runOf(1, 1000));
  expect(free()).toEqual(13_000);
  view.resetForLink(2, 2);
  expect(free()).toEqual(12_000);
});

it('a worker has a suspect until its last run of a suspect task ends', () => {
  const view = new WorkerView('w0', ROW);
  view.placed.set('a', runOf(1, 0, true));
  view.placed.set('a', runOf(2, 0, true));
  view.placed.set('b', runOf(3, 0));
  expect(view.hasSuspect).toEqual(true);
  view.placed.delete('a');
  view.placed.delete('a');
  expect(view.hasSuspect).toEqual(false);
  view.placed.set('b', runOf(4, 0, true));
  expect(view.hasSuspect).toEqual(true);
});

// Guards against a run that is given up, and starts elsewhere, while the next
// incarnation of its worker may still begin it.
it('a run that was confirmed may begin late again after a restart of its worker', () => {
  const view = new WorkerView('w0', ROW);
  view.hasSnapshot = true;
  view.placed.set(runKey({ task: 't', run: 1 }), runOf(1, 0));
  view.applyReport(reportOf({ sequence: 1 }), 0);
  expect(view.mayBeginLate(runKey({ task: 't', run: 1 }), 0)).toEqual(false);
  const unconfirmed = [{ task: 't', run: 1 }];
  view.applyReport(reportOf({ sequence: 1, unconfirmed }), 1);
  expect(view.mayBeginLate(runKey({ task: 't', run: 1 }), 1)).toEqual(true);
});

class OrderHarness {
  readonly actions: BatchAction[] = [];
  readonly fleet = new WorkerFleet({
    name: 'e0',
    incarnation: 'i0',
    dataCentre: 'dc0',
    emit: (action) => {
      this.actions.push(action);
    },
  });

  constructor() {
    this.fleet.onRow('w0', JSON.stringify(ROW), 1, 0);
  }

  get view(): WorkerView {
    const view = this.fleet.get('w0');
    if (!view) {
      throw new Error('no such worker');
    }
    return view;
  }

  update(now: number): void {
    const needs = { fenced: [], all: false, shortage: Shortage.None };
    this.fleet.updateLinks({ ...needs, others: [] }, now);
  }

  /** Time limit in the last order that was sent. */
  get lastLimitMs(): number | undefined {
    const orders = this.actions.flatMap((action) =>
      action.kind === 'order' ? [action.order.holdUntilMs] : [],
    );
    return orders.at(-1);
  }

  /** Sends what is due and returns the number of orders. */
  send(now: number): number {
    const before = this.actions.length;
    this.fleet.sendOrders(
      {
        grantsFromMs: now,
        operatorVersion: 1,
        operatorAgeMs: 0,
        isOutOfService: () => false,
      },
      now,
    );
    return this.actions
      .slice(before)
      .filter((action) => action.kind === 'order').length;
  }
}

it('a stop that is requested without a link is sent over the next one', () => {
  const harness = new OrderHarness();
  harness.fleet.stop(harness.view, 't', 1);
  expect(harness.send(0)).toEqual(0);
  harness.update(10);
  expect(harness.send(10)).toEqual(1);
});

// Guards against runs of callers that have gone whose stops were lost with the
// link before.
it('orders extend the time of runs only after the snapshot on their link', () => {
  const harness = new OrderHarness();
  harness.update(0);
  harness.view.applyReport(reportOf({ clockMs: 5000, snapshot: true }), 0);
  harness.fleet.onSnapshot(harness.view, 0);
  harness.view.placed.set('a', runOf(0, 0));
  harness.send(0);
  expect(harness.lastLimitMs).toEqual(5700);
  harness.fleet.onLinkClosed(1, 'reset', 10);
  harness.update(500);
  harness.send(500);
  expect(harness.lastLimitMs).toEqual(0);
  harness.view.applyReport(reportOf({ clockMs: 5510, snapshot: true }), 510);
  harness.fleet.onSnapshot(harness.view, 510);
  harness.send(510);
  expect(harness.lastLimitMs).toEqual(6210);
});

it('orders without content keep their intervals, and runs shorten them at once', () => {
  const harness = new OrderHarness();
  harness.update(0);
  expect(harness.send(0)).toEqual(1);
  expect(harness.send(499)).toEqual(0);
  expect(harness.send(500)).toEqual(1);
  // A run that a report brings makes no order necessary by itself.
  harness.view.placed.set('a', runOf(0, 0));
  expect(harness.send(600)).toEqual(0);
  expect(harness.send(750)).toEqual(1);
  expect(harness.send(999)).toEqual(0);
  expect(harness.send(1000)).toEqual(1);
  harness.view.placed.delete('a');
  expect(harness.send(1250)).toEqual(0);
  expect(harness.send(1500)).toEqual(1);
});

it('a silent worker with runs loses its link as soon as before', () => {
  const harness = new OrderHarness();
  harness.update(0);
  harness.view.placed.set('a', runOf(0, 0));
  harness.update(900);
  expect(harness.view.linkId).toEqual(1);
  harness.update(901);
  expect(harness.view.linkId).toEqual(undefined);
  harness.update(1000);
  expect(harness.view.linkId).toEqual(undefined);
  harness.update(1001);
  expect(harness.view.linkId).toEqual(2);
});

// What a silent link still delivers arrives after its runs were given up; an idle
// one may still have to deliver an acknowledgement.
it('a silent link is reset, an idle one is closed', () => {
  const closesOf = ({ actions }: OrderHarness): boolean[] =>
    actions.flatMap((action) =>
      action.kind === 'close-link' ? [action.isReset] : [],
    );
  const silent = new OrderHarness();
  silent.update(0);
  silent.update(2201);
  expect(closesOf(silent)).toEqual([true]);
  const idle = new OrderHarness();
  idle.update(0);
  idle.fleet.onRow('w0', null, 2, 0);
  idle.send(0);
  idle.update(2001);
  expect(closesOf(idle)).toEqual([false]);
});

it('peers that join, leave or fail change who is watched at the next tick', () => {
  const monitor = new PeerMonitor('e');
  const add = (name: string): void => {
    monitor.set(name, { name, address: name, dataCentre: 'dc' }, 1, 0);
  };
  const due = (now: number): string[] =>
    monitor.due(ProbeScope.Neighbours, now).map((peer) => peer.incarnation);
  ['a', 'b', 'f', 'g', 'h'].forEach(add);
  // Beside the next three on the ring, one other peer is probed a second.
  expect(due(0)).toEqual(['f', 'g', 'h', 'a']);
  for (const incarnation of ['f', 'g', 'h', 'a']) {
    monitor.onProbed(
      incarnation,
      { incarnation, storeReachable: true, pending: {} },
      1,
    );
  }
  monitor.delete('g');
  add('ee');
  expect(due(500)).toEqual(['ee', 'f', 'h']);
  monitor.onProbed('ee', undefined, 501);
  expect(monitor.unsuspectedRows(501).map(({ name }) => name)).toEqual([
    'ee',
    'f',
    'h',
    'a',
    'b',
  ]);
  const rows = monitor.unsuspectedRows(502);
  expect(monitor.unsuspectedRows(503)).toExactlyEqual(rows);
  expect(
    monitor.unsuspectedRows(2100).some(({ name }) => name === 'ee'),
  ).toEqual(false);
});
