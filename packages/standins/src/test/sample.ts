/** Declares two data centres, one endpoint and one desk. */
export const FIRST_TICKET = {
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
 * @param id - Id of the job.
 * @param count - Number of tasks.
 * @param ms - Time that each task takes.
 * @returns The body of a submission.
 */
export const jobOf = (id: string, count: number, ms: number) => ({
  id,
  desk: 'dakar',
  deadlineMs: 60_000,
  firstAttempt: false,
  tasks: Array.from({ length: count }, () => ({
    endpoint: 'levy',
    payload: { ms },
  })),
});
