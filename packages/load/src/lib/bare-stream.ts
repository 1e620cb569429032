import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { EntryMessageSchema, RunnerService } from '@sapphiremux/wire';
import type { EntryMessage } from '@sapphiremux/wire';

/** Options of {@link measureBareStream}. */
export interface BareStreamOptions {
  /** Ports of instant runners. */
  readonly ports: readonly number[];
  readonly tasksPerMessage: number;
  /** Maximum number of unanswered messages on each stream. */
  readonly depth: number;
  readonly seconds: number;
}

const PAYLOAD = Buffer.from('{"ms":0}');
const MS_PER_SECOND = 1000;

/**
 * Measures the throughput of Connect streams to instant runners without an
 * entry. It is the upper bound that the throughput of an entry is compared
 * with.
 *
 * @param options - Streams, batch size and duration.
 * @returns Answered tasks per second, over all streams.
 */
export const measureBareStream = async (
  options: BareStreamOptions,
): Promise<number> => {
  const untilMs = performance.now() + options.seconds * MS_PER_SECOND;
  const counts = await Promise.all(
    options.ports.map((port) => runStream(port, options, untilMs)),
  );
  return counts.reduce((sum, count) => sum + count, 0) / options.seconds;
};

const runStream = async (
  port: number,
  options: BareStreamOptions,
  untilMs: number,
): Promise<number> => {
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl: `http://127.0.0.1:${String(port)}`,
  });
  const client = createClient(RunnerService, transport);
  let answered = 0;
  let notifyCredit: () => void = () => undefined;
  let credit = options.depth;
  async function* sendBatches(): AsyncGenerator<EntryMessage> {
    for (let n = 0; performance.now() < untilMs; n++) {
      while (credit <= 0 && performance.now() < untilMs) {
        await new Promise<void>((resolve) => {
          notifyCredit = resolve;
        });
      }
      credit -= 1;
      yield batchOf(n, options.tasksPerMessage);
    }
  }
  for await (const msg of client.dispatch(sendBatches())) {
    answered += msg.results.length;
    credit += 1;
    notifyCredit();
  }
  return answered;
};

const batchOf = (n: number, count: number): EntryMessage =>
  create(EntryMessageSchema, {
    starts: Array.from({ length: count }, (_, index) => ({
      job: `job-${String(n)}`,
      index,
      endpoint: 'levy',
      payload: PAYLOAD,
      contentType: 'application/json',
    })),
  });
