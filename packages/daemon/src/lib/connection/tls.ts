import { readFileSync } from 'node:fs';

/** Certificates of a process, in PEM. */
export interface TlsContext {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** Files with the certificates of a process. */
export interface TlsFiles {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/**
 * @param files - Files from the settings, if encryption is set up.
 * @returns Their content.
 */
export const loadTls = (files: TlsFiles | undefined): TlsContext | undefined =>
  files && {
    cert: readFileSync(files.cert),
    key: readFileSync(files.key),
    ca: readFileSync(files.ca),
  };
