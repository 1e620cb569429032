import { URL } from 'node:url';
import { Worker } from 'node:worker_threads';

/** Controls a stand-in of a runner that lives in a thread of its own. */
export class RunnerHandle {
  _nextId = 1;
  _waiting = new Map();

  /** @param options - Options of the runner, and `onEvent`. */
  constructor({ onEvent, ...workerData }) {
    this._thread = new Worker(new URL('runner-thread.mjs', import.meta.url), {
      workerData,
    });
    this._thread.on('message', (msg) => {
      if (msg.kind === 'events') {
        msg.events.forEach(onEvent);
      } else {
        this._waiting.get(msg.id)?.();
        this._waiting.delete(msg.id);
      }
    });
  }

  /** Starts a life that knows nothing of earlier ones. */
  start() {
    return this._call('start');
  }

  /** Ends the process of the runner: its address refuses connections. */
  crash() {
    return this._call('crash');
  }

  /** Takes the power away: connections hang. */
  goDark() {
    return this._call('goDark');
  }

  /** Comes back under the same id after it has been dark. */
  comeBack() {
    return this._call('comeBack');
  }

  /** Leaves the next start without an answer, and carries it out late. */
  delayNextStart() {
    return this._call('delayNextStart');
  }

  /** Answers all starts again. */
  delayNoStart() {
    return this._call('delayNoStart');
  }

  /** Ends the thread. */
  close() {
    return this._thread.terminate();
  }

  _call(method) {
    const id = this._nextId;
    this._nextId += 1;
    return new Promise((resolve) => {
      this._waiting.set(id, resolve);
      this._thread.postMessage({ id, method });
    });
  }
}
