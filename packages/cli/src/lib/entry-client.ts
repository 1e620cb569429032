import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { ExitCode } from './exit-codes.js';

/** A call that did not succeed. */
export interface CallFailure {
  readonly exitCode: ExitCode;
  readonly message: string;
  /** Problem details, if an entry sent any. */
  readonly problem?: Problem;
}

/** Problem details (RFC 9457) as an entry sends them. */
export interface Problem {
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly runState: string;
  readonly retryAfterMs?: number;
}

/** State of a job as an entry sends it. */
export interface JobState {
  readonly id: string;
  readonly state: 'open' | 'complete' | 'failed';
  readonly taskCount: number;
  readonly doneCount: number;
  readonly reason?: string;
  readonly detail?: string;
  readonly answers?: readonly unknown[];
  readonly runStates?: readonly string[];
}

/** A call to an entry. */
export interface EntryCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** Replaces `body` once an earlier attempt may have reached an entry. */
  readonly retryBody?: unknown;
  /** Whether the call may be retried after it may have reached an entry. */
  readonly retryable: boolean;
}

const CONNECT_TIMEOUT_MS = 2000;
const FIRST_ERROR_STATUS = 400;
const HTTP_UNAVAILABLE = 503;

/** Error codes that prove that the request was not sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Calls entries over HTTP. Fails over to the next entry when the call is
 * retryable or is proved not to have run.
 */
export class EntryClient {
  private readonly _urls: readonly string[];
  private readonly _agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /** @param urls - Addresses of entries in failover order. */
  constructor(urls: readonly string[]) {
    this._urls = urls;
  }

  /**
   * @param call - The call.
   * @returns The decoded response, or the failure of the last attempt.
   */
  async call<T>(call: EntryCall): Promise<Result<T, CallFailure>> {
    let failure: CallFailure = {
      exitCode: ExitCode.Invalid,
      message: 'No entry address given; set --entry or SAPPHIREMUX_ENTRIES.',
    };
    let mayHaveRun = false;
    for (const url of this._urls) {
      const body = mayHaveRun ? (call.retryBody ?? call.body) : call.body;
      const answer = await this._send<T>(url, { ...call, body });
      if (answer.isOk()) {
        return answer;
      }
      failure = answer.error;
      mayHaveRun ||= failure.exitCode === ExitCode.MayHaveRun;
      if (!canTryNextEntry(call, failure)) {
        break;
      }
    }
    // A refusal proves that its own attempt did not run, but says nothing about
    // an earlier attempt that may have reached another entry.
    const mayHaveRunEarlier =
      mayHaveRun && failure.exitCode === ExitCode.NotRun;
    const exitCode = mayHaveRunEarlier ? ExitCode.MayHaveRun : failure.exitCode;
    return Err({ ...failure, exitCode });
  }

  private async _send<T>(
    url: string,
    call: EntryCall,
  ): Promise<Result<T, CallFailure>> {
    try {
      const res = await request(new URL(call.path, url), {
        method: call.method,
        headers: { 'content-type': 'application/json' },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        dispatcher: this._agent,
      });
      const text = await res.body.text();
      const type = String(res.headers['content-type'] ?? '');
      if (res.statusCode < FIRST_ERROR_STATUS) {
        return Ok(JSON.parse(text) as T);
      }
      return Err(toFailure(res.statusCode, type, text));
    } catch (err) {
      return Err(toConnectFailure(url, err as Error & { code?: string }));
    }
  }
}

const canTryNextEntry = (call: EntryCall, failure: CallFailure): boolean => {
  const status = failure.problem?.status;
  const isTransient = status === undefined || status === HTTP_UNAVAILABLE;
  return (
    isTransient && (call.retryable || failure.exitCode === ExitCode.NotRun)
  );
};

const toFailure = (status: number, type: string, text: string): CallFailure => {
  if (!type.startsWith('application/problem+json')) {
    return {
      exitCode: ExitCode.Failed,
      message: `The endpoint responded with HTTP status ${String(status)}: ${text}`,
    };
  }
  const problem = JSON.parse(text) as Problem;
  const retryHint =
    problem.retryAfterMs === undefined
      ? ''
      : ` Retry after ${String(problem.retryAfterMs)} ms.`;
  return {
    exitCode: exitCodeOf(problem),
    message: `${problem.title}: ${problem.detail} Run state: ${problem.runState}.${retryHint}`,
    problem,
  };
};

const exitCodeOf = (problem: Problem): ExitCode => {
  switch (problem.status) {
    case 409:
    case 404:
    case 422:
      return ExitCode.Invalid;
    default:
      return problem.runState === 'not-run'
        ? ExitCode.NotRun
        : ExitCode.MayHaveRun;
  }
};

const toConnectFailure = (
  url: string,
  err: Error & { code?: string },
): CallFailure => ({
  exitCode: NOT_SENT_CODES.has(err.code ?? '')
    ? ExitCode.NotRun
    : ExitCode.MayHaveRun,
  message: `${url}: ${err.message}`,
});
