import { setTimeout as delay } from 'node:timers/promises';
import { callJson } from './http.mjs';
import { HOST } from './deployment.mjs';
import { nowMs } from './record.mjs';

const DEADLINE_MS = 1500;
const RESEND_MS = 1300;

let nextId = 1;

/**
 * @param part - Last digit of the id, by which the store's part is chosen.
 * @returns An id that no job has had before.
 */
export const newId = (part = nextId % 4) => {
  nextId += 1;
  const prefix = (0x5c0e7a21 + nextId).toString(16).padStart(12, '0');
  return `${prefix}${(nextId * 4 + part).toString(16).padStart(4, '0')}`;
};

/**
 * Client that speaks to the entries as the pages say: a submission without an
 * answer, or answered 502 or 504, is sent again to the next entry.
 */
export class Client {
  #deployment;
  #record;

  constructor(deployment, record) {
    this.#deployment = deployment;
    this.#record = record;
  }

  /** Sends one request to one entry. */
  async send(entry, method, path, body) {
    const sentAtMs = nowMs();
    const reply = await callJson({
      url: this.#deployment.frontOf(entry) + path,
      method,
      headers: {
        host: HOST,
        'x-sapphiremux-deadline-ms': String(DEADLINE_MS),
      },
      body,
      timeoutMs: DEADLINE_MS,
    });
    this.#record.write('call', {
      entry: entry.name,
      method,
      path,
      status: reply.status,
      state: reply.body.state ?? '',
      detail: reply.detail,
      tookMs: Math.round(nowMs() - sentAtMs),
    });
    return reply;
  }

  /**
   * Hands a job in.
   *
   * @returns The statuses of all attempts; the job is accepted if the last one
   *   is 200.
   */
  async submit(path, body, { first = 0, attempts = 4 } = {}) {
    const { entries } = this.#deployment;
    const statuses = [];
    for (let i = 0; i < attempts; i += 1) {
      const entry = entries[(first + i) % entries.length];
      const { status } = await this.send(entry, 'POST', path, body);
      statuses.push(status);
      if (status !== 0 && status !== 502 && status !== 504) {
        break;
      }
      await delay(RESEND_MS);
    }
    return statuses;
  }

  /** Reads the state of a job at an entry; 'gone' for 410, '' for no answer. */
  async state(entry, path) {
    const { status, body } = await this.send(entry, 'GET', path);
    if (status === 410) {
      return 'gone';
    }
    return status === 200 ? body.state : '';
  }
}

/** Body of a job with one step. */
export const jobOf = (spec, step) => ({
  spec: JSON.stringify(spec),
  steps: [{ count: 1, cpu: 1600, mem_mb: 64, ...step }],
});
