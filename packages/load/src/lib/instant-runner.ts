import { createServer } from 'node:http2';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  FenceReplySchema,
  RunState,
  RunnerMessageSchema,
  RunnerService,
} from '@sapphiremux/wire';
import type { EntryMessage, RunnerMessage } from '@sapphiremux/wire';

/** Identity of an instant runner. */
export interface InstantRunnerOptions {
  readonly id: string;
  readonly port: number;
  /** Maximum number of slot credits granted to the entry. */
  readonly slots: number;
}

const HTTP_OK = 200;
const BODY = Buffer.from('{}');

/**
 * Starts a fake runner that answers every start immediately, so that
 * throughput is limited by the entry or the stream alone.
 *
 * @param options - Identity and port on the local host.
 */
export const startInstantRunner = async (
  options: InstantRunnerOptions,
): Promise<void> => {
  const server = createServer(
    connectNodeAdapter({
      routes: (router) => {
        router.service(RunnerService, {
          dispatch: (messages) => answer(messages, options),
          fence: () => create(FenceReplySchema, {}),
        });
      },
    }),
  );
  await new Promise<void>((resolve) => {
    server.listen(options.port, '127.0.0.1', resolve);
  });
};

async function* answer(
  messages: AsyncIterable<EntryMessage>,
  options: InstantRunnerOptions,
): AsyncGenerator<RunnerMessage> {
  let version = 0;
  for await (const msg of messages) {
    version = Math.max(version, msg.config?.version ?? 0);
    const count = msg.starts.length;
    yield create(RunnerMessageSchema, {
      ...(msg.open ? { hello: helloOf(options) } : {}),
      results: msg.starts.map(({ job, index }) => ({
        job,
        index,
        state: RunState.RAN,
        status: HTTP_OK,
        body: BODY,
        contentType: 'application/json',
      })),
      grants: { slots: msg.open ? options.slots : count, connections: 0 },
      sentAtMs: performance.now(),
      configVersion: version,
      endpointPresent: true,
    });
  }
}

const helloOf = ({ id, slots }: InstantRunnerOptions) => ({
  runner: id,
  incarnation: 'instant',
  dataCentre: 'north',
  endpoint: 'levy',
  capacity: { slots, connections: 0 },
});
