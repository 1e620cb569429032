import { Body, Controller, Inject, Post, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { callerOf } from '../connection/caller.js';
import { now } from '../process/clock.js';
import { EntryHost } from '../process/entry-host.js';
import { sendReply } from './replies.js';
import { requestSchema } from './schemas.js';
import { validate } from './validate.js';

/** HTTP interface for single requests to an endpoint, without a job. */
@Controller('v1/requests')
export class RequestsController {
  private readonly _host: EntryHost;

  constructor(@Inject(EntryHost) host: EntryHost) {
    this._host = host;
  }

  /** Runs one request and passes on the complete response of the endpoint. */
  @Post()
  async request(
    @Body() body: unknown,
    @Res() res: FastifyReply,
  ): Promise<void> {
    const { payload, deadlineMs, ...rest } = validate(requestSchema, body);
    const reply = await this._host.dispatchRequest(
      (replyId) => ({
        kind: 'request',
        replyId,
        request: {
          ...rest,
          payload: JSON.stringify(payload ?? null),
          contentType: 'application/json',
          deadlineMs: now() + deadlineMs,
        },
      }),
      callerOf(res.raw),
    );
    await sendReply(res, reply);
  }
}
