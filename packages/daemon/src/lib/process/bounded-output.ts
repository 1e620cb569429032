import type { Writable } from 'node:stream';
import { TurnFlush } from './turn-flush.js';

/** Maximum number of buffered bytes when the reader is slow. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Writes lines to a stream with a bounded buffer and never blocks.
 *
 * The lines of one turn of the event loop are written together at its end,
 * because a write to a pipe costs more than the line. {@link BoundedOutput.flush}
 * writes them at once; it is to be called when the process exits.
 *
 * When the buffer is full because the reader is too slow, lines are dropped.
 * The number of dropped lines is written once the buffer has space again.
 */
export class BoundedOutput {
  private readonly _stream: Writable;
  private readonly _turnFlush = new TurnFlush(() => {
    this.flush();
  });
  /** Lines of this turn. */
  private _pending = '';
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
    const bufferedBytes = this._stream.writableLength + this._pending.length;
    if (bufferedBytes > MAX_BUFFERED_BYTES) {
      this._dropped += 1;
      return;
    }
    if (this._dropped > 0) {
      const note = { message: 'log lines dropped', lines: this._dropped };
      this._dropped = 0;
      this._pending += `${JSON.stringify(note)}\n`;
    }
    this._pending += line;
    this._turnFlush.schedule();
  }

  /** Writes the lines that have been held back until the end of this turn. */
  flush(): void {
    const text = this._pending;
    if (text !== '') {
      this._pending = '';
      this._stream.write(text);
    }
  }
}
