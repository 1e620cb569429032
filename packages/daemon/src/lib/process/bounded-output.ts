import type { Writable } from 'node:stream';

/** Maximum number of buffered bytes when the reader is slow. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Writes lines to a stream with a bounded buffer and never blocks.
 *
 * When the buffer is full because the reader is too slow, lines are dropped.
 * The number of dropped lines is written once the buffer has space again.
 */
export class BoundedOutput {
  private readonly _stream: Writable;
  private _dropped = 0;

  /** @param stream - Destination of the lines. */
  constructor(stream: Writable) {
    this._stream = stream;
    stream.on('error', () => {
      // The reader has closed the output; the process continues without it.
      this._dropped += 1;
    });
  }

  /** Number of lines dropped since the last report of dropped lines. */
  get dropped(): number {
    return this._dropped;
  }

  /** @param line - One line, including its line break. */
  write(line: string): void {
    if (this._stream.writableLength > MAX_BUFFERED_BYTES) {
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
