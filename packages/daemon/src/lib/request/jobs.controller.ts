import { createHash } from 'node:crypto';
import {
  Body,
  Controller,
  Get,
  Inject,
  Param,
  Post,
  Query,
  Res,
} from '@nestjs/common';
import type { JobSpec } from '@sapphiremux/core';
import type { FastifyReply } from 'fastify';
import type { z } from 'zod';
import { now } from '../process/clock.js';
import { EntryHost } from '../process/entry-host.js';
import { disconnectSignal } from './disconnect-signal.js';
import { sendReply } from './replies.js';
import { jobSchema, waitSchema } from './schemas.js';
import { validate } from './validate.js';

/** Submission, status and cancellation of jobs. */
@Controller('v1/jobs')
export class JobsController {
  private readonly _host: EntryHost;

  constructor(@Inject(EntryHost) host: EntryHost) {
    this._host = host;
  }

  /**
   * Accepts a job, or attaches to the existing job with the same id. Then waits
   * for the outcome up to the time that the caller specifies.
   */
  @Post()
  async submit(
    @Body() body: unknown,
    @Query() query: unknown,
    @Res() res: FastifyReply,
  ): Promise<void> {
    const spec = toSpec(validate(jobSchema, body));
    const { wait } = validate(waitSchema, query);
    const reply = await this._host.dispatchCall((replyId) => ({
      kind: 'submit',
      replyId,
      spec,
    }));
    if (wait > 0 && reply.kind === 'job' && !reply.status.outcome) {
      await this._sendStatus(spec.id, wait, false, res);
    } else {
      await sendReply(res, reply);
    }
  }

  /** Waits for the outcome of a job, then answers with the state of the job. */
  @Get(':id')
  async status(
    @Param('id') id: string,
    @Query() query: unknown,
    @Res() res: FastifyReply,
  ): Promise<void> {
    const { wait } = validate(waitSchema, query);
    await this._sendStatus(id, wait, false, res);
  }

  /** Cancels a job, waits for its outcome and answers with its state. */
  @Post(':id/cancel')
  async cancel(
    @Param('id') id: string,
    @Query() query: unknown,
    @Res() res: FastifyReply,
  ): Promise<void> {
    const { wait } = validate(waitSchema, query);
    await this._sendStatus(id, wait, true, res);
  }

  private async _sendStatus(
    job: string,
    wait: number,
    cancel: boolean,
    res: FastifyReply,
  ): Promise<void> {
    const waitMs = Math.min(wait, this._host.settings.http.max_wait);
    const reply = await this._host.dispatchCall(
      (replyId) => ({
        kind: 'ask',
        replyId,
        job,
        waitMs,
        cancel,
        forward: true,
      }),
      disconnectSignal(res),
    );
    await sendReply(res, reply);
  }
}

const toSpec = (body: z.output<typeof jobSchema>): JobSpec => {
  // The digest excludes `firstAttempt`, which differs between attempts: another
  // digest for the same id is answered as a conflict.
  const { firstAttempt, ...content } = body;
  const digest = createHash('sha256')
    .update(JSON.stringify(content))
    .digest('base64url');
  return {
    ...content,
    firstAttempt,
    digest,
    deadlineMs: now() + body.deadlineMs,
    tasks: body.tasks.map(({ endpoint, payload, needs }) => ({
      endpoint,
      payload: JSON.stringify(payload ?? null),
      needs,
    })),
  };
};
