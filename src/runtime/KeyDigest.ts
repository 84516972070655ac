/**
 * Digests of callers' keys. Only digests are kept and sent with callers' requests, so no log line, dump or record of a job contains a key, and
 * the time of a look-up by digest tells nothing about the keys.
 */

import { createHash } from 'node:crypto'

/** The digest of a key; empty for an empty key, which belongs to no workspace. */
export function digestKey (key: string): string {
  return key === '' ? '' : createHash('sha256').update(key).digest('base64url')
}
