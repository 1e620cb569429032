import { Body, Controller, Get, Inject, Post, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { EntryHost } from '../process/entry-host.js';
import { sendReply } from './replies.js';
import { ticketSchema } from './schemas.js';
import { validate } from './validate.js';

/**
 * HTTP interface for operators: change tickets, the configuration in force and
 * the members.
 */
@Controller('v1')
export class OperatorsController {
  private readonly _host: EntryHost;

  constructor(@Inject(EntryHost) host: EntryHost) {
    this._host = host;
  }

  /** Proposes a change ticket. */
  @Post('tickets')
  async propose(
    @Body() body: unknown,
    @Res() res: FastifyReply,
  ): Promise<void> {
    const proposal = validate(ticketSchema, body);
    const reply = await this._host.dispatchCall((replyId) => ({
      kind: 'apply-ticket',
      replyId,
      proposal,
    }));
    await sendReply(res, reply);
  }

  /** Lists the accepted tickets that are kept in memory, oldest first. */
  @Get('tickets')
  tickets(): object {
    return { tickets: this._host.core.tickets };
  }

  /** Answers with the configuration in force at this entry. */
  @Get('configuration')
  configuration(): object {
    const { config } = this._host.core;
    const subjects = config
      .entries()
      .map(([subject, setting]) => ({ subject, setting }));
    return { version: config.version, subjects };
  }

  /** Lists the entries and runners that this entry knows. */
  @Get('members')
  members(): object {
    const { core, settings } = this._host;
    const entries = core.members.map(({ row, staleMs }) => ({
      id: row.id,
      incarnation: row.incarnation,
      address: row.address,
      dataCentre: row.dataCentre,
      silentMs: Math.round(staleMs),
      replacedBy: row.fencedBy ?? null,
    }));
    const runners = [...core.runners()].map((peer) => ({
      id: peer.ref.id,
      incarnation: peer.ref.incarnation,
      address: peer.ref.address,
      dataCentre: peer.ref.dataCentre,
      endpoint: peer.ref.endpoint,
      connected: peer.link?.ready ?? false,
      registered: core.isRegistered(peer.ref),
      accepting: peer.accepting,
      configVersion: peer.link?.runnerConfigVersion ?? 0,
      inFlight: peer.inFlight.size,
    }));
    return { answeredBy: settings.id, entries, runners };
  }
}
