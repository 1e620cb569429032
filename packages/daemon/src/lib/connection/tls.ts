import { readFileSync } from 'node:fs';

/** Certificate, private key and certificate authority of a process, in PEM. */
export interface TlsContext {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** Paths of the PEM files of a {@link TlsContext}. */
export interface TlsFiles {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/**
 * Reads the certificate files of a process.
 *
 * @param files - Paths from the settings; absent when TLS is not configured.
 * @returns The contents of the files; absent when `files` is absent.
 */
export const loadTls = (files: TlsFiles | undefined): TlsContext | undefined =>
  files && {
    cert: readFileSync(files.cert),
    key: readFileSync(files.key),
    ca: readFileSync(files.ca),
  };
