import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { EntryHost } from '../process/entry-host.js';
import { openApiDocument } from './openapi.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Probes, metrics and the description of the interface. */
@Controller()
export class HealthController {
  private readonly _host: EntryHost;

  constructor(@Inject(EntryHost) host: EntryHost) {
    this._host = host;
  }

  /** Answers as long as the loop turns. */
  @Get('livez')
  live(): object {
    return { live: true };
  }

  /** Tells the balancer whether to send new work here. */
  @Get('readyz')
  async ready(@Res() res: FastifyReply): Promise<void> {
    const ready = this._host.core.isReady;
    await res.status(ready ? HTTP_OK : HTTP_UNAVAILABLE).send({ ready });
  }

  /** Metrics in the Prometheus text format. */
  @Get('metrics')
  async metrics(@Res() res: FastifyReply): Promise<void> {
    const { registry } = this._host.metrics;
    const text = await registry.metrics();
    await res.header('content-type', registry.contentType).send(text);
  }

  /** Describes the interface. */
  @Get('openapi.json')
  openApi(): object {
    return openApiDocument();
  }
}
