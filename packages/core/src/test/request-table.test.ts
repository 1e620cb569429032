import { expect } from 'earl';
import type { EntryContext } from '../lib/process/entry-context.js';
import { ErrorCode } from '../lib/process/entry-events.js';
import type { EntryAction } from '../lib/process/entry-events.js';
import { RequestTable } from '../lib/process/request-table.js';
import type { Job } from '../lib/request/job.js';
import { PriorityClass } from '../lib/request/job-spec.js';

// Guards against a request that crashed endpoint after endpoint.
it('an idempotent request is given up when three results of it are lost', () => {
  const actions: EntryAction[] = [];
  const started: Job[] = [];
  const start = (job: Job): void => {
    started.push(job);
    job.markSent(0, `runner-${String(started.length)}`);
  };
  const table = new RequestTable({
    ctx: {
      options: { incarnation: 'e1', random: () => 0.5 },
      emit: (action: EntryAction) => actions.push(action),
    } as unknown as EntryContext,
    onOpen: start,
    onRetry: start,
    onAnswered: () => undefined,
  });
  table.add(
    {
      desk: 'levy',
      endpoint: 'quotes',
      priority: PriorityClass.Urgent,
      idempotent: true,
      payload: '',
      contentType: 'text/plain',
      deadlineMs: 60_000,
      dataCentres: [],
    },
    7,
  );
  for (let now = 0; now < 30_000 && actions.length === 0; now += 1000) {
    const job = started.at(-1);
    if (job?.state(0).kind === 'sent') {
      job.markLost(0, 'the endpoint has crashed');
      table.onChanged(job, now);
    }
    table.tick(now);
  }
  expect(started.length).toEqual(3);
  const [action] = actions;
  const reply = action?.kind === 'reply' ? action.reply : undefined;
  expect(reply?.kind === 'error' && reply.error.code).toEqual(ErrorCode.Lost);
});
