import type {
  FleetCommand,
  FleetStep,
} from '../lib/fleet-sim/fleet-commands.js';

/** Ticket that declares two data centres, one endpoint and one desk. */
export const CLUSTER_TICKET = {
  author: 'test',
  reason: 'declare the estate',
  changes: [
    {
      subject: 'data-centre/north',
      setting: { kind: 'data-centre', inService: true },
    },
    {
      subject: 'data-centre/south',
      setting: { kind: 'data-centre', inService: true },
    },
    {
      subject: 'endpoint/levy',
      setting: {
        kind: 'endpoint',
        inService: true,
        dataCentres: ['north', 'south'],
      },
    },
    {
      subject: 'desk/dakar',
      setting: { kind: 'desk', ratePerSecond: 10_000, burst: 10_000 },
    },
  ],
};

/**
 * Creates a job whose tasks all take the same time.
 *
 * @param id - Id of the job.
 * @param count - Number of tasks.
 * @param ms - Run time of each task.
 * @returns Body of the job submission.
 */
export const createJob = (id: string, count: number, ms: number) => ({
  id,
  desk: 'dakar',
  deadlineMs: 60_000,
  firstAttempt: false,
  tasks: Array.from({ length: count }, () => ({
    endpoint: 'levy',
    payload: { ms },
  })),
});

/**
 * @param command - A command of a fleet scenario.
 * @param thenMs - Virtual time until the next one, in milliseconds.
 * @returns The step of the scenario.
 */
export const step = (command: FleetCommand, thenMs: number): FleetStep => ({
  command,
  thenMs,
});
