import type { Writable } from 'node:stream';

/** Bytes that may wait for a slow reader of the output. */
const MAX_WAITING_BYTES = 1_048_576;

/**
 * Writes lines without ever waiting for the reader.
 *
 * When the reader is too slow, lines are dropped and counted; the count is
 * written once there is room again.
 */
export class BoundedOutput {
  private readonly _stream: Writable;
  private _dropped = 0;

  /** @param stream - Where lines go. */
  constructor(stream: Writable) {
    this._stream = stream;
    stream.on('error', () => {
      // Nobody reads the output any longer; the process goes on without it.
      this._dropped += 1;
    });
  }

  /** Lines that were dropped since the last note of it. */
  get dropped(): number {
    return this._dropped;
  }

  /** @param line - One line with its line end. */
  write(line: string): void {
    if (this._stream.writableLength > MAX_WAITING_BYTES) {
      this._dropped += 1;
      return;
    }
    if (this._dropped > 0) {
      const note = { message: 'log lines dropped', lines: this._dropped };
      this._dropped = 0;
      this._stream.write(`${JSON.stringify(note)}\n`);
    }
    this._stream.write(line);
  }
}
