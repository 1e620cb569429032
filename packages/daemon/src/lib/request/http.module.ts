import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import { EntryHost } from '../process/entry-host.js';
import { HealthController } from './health.controller.js';
import { JobsController } from './jobs.controller.js';
import { OperatorsController } from './operators.controller.js';
import { RequestsController } from './requests.controller.js';

/** NestJS module with the HTTP controllers of an entry. */
@Module({})
export class HttpModule {
  /**
   * @param host - The entry that handles the requests.
   * @returns The module with its controllers.
   */
  static forHost(host: EntryHost): DynamicModule {
    return {
      module: HttpModule,
      controllers: [
        JobsController,
        RequestsController,
        OperatorsController,
        HealthController,
      ],
      providers: [{ provide: EntryHost, useValue: host }],
    };
  }
}
