import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { EntryHost } from '../process/entry-host.js';
import { openApiDocument } from './openapi.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Health probes, metrics and the OpenAPI description of an entry. */
@Controller()
export class HealthController {
  private readonly _host: EntryHost;

  constructor(@Inject(EntryHost) host: EntryHost) {
    this._host = host;
  }

  /** Liveness probe: answers as long as the event loop runs. */
  @Get('livez')
  live(): object {
    return { live: true };
  }

  /** Readiness probe: tells the load balancer whether to send new work. */
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

  /** The OpenAPI description of the HTTP interface. */
  @Get('openapi.json')
  openApi(): object {
    return openApiDocument();
  }
}
