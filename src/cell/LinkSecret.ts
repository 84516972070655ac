/**
 * The secret with which the cell's processes authenticate to each other. The first process of a cell generates it and keeps it in the
 * store, so that exactly the processes with access to the store can join.
 */

import { randomBytes } from 'node:crypto'
import type { IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ITimers } from '../common/Types.js'
import { LINK_SECRET_KEY } from './Keys.js'

const SECRET_BYTES = 24
const RETRY_DELAY_MS = 150
const COMMIT_TIMEOUT_MS = 1000

/** Retries until the store answers: without the store a process can't serve requests anyway. */
export async function readLinkSecret (store: IMetadataStore, timers: ITimers, log: ILogger): Promise<string> {
  for (let failures = 0; ;) {
    const read = await store.get(LINK_SECRET_KEY)
    if (read.kind === 'read' && read.value !== undefined) return read.value.value
    if (read.kind === 'read') {
      const secret = randomBytes(SECRET_BYTES).toString('base64url')
      const expect = [{ key: LINK_SECRET_KEY, revision: 0 }]
      // Whatever the outcome, the next read returns the secret that is stored.
      await store.commit({ expect, puts: [{ key: LINK_SECRET_KEY, value: secret }], removes: [] }, COMMIT_TIMEOUT_MS)
      continue
    }
    failures += 1
    if (failures === 1) log.warn('store.lost', { step: 'linkSecret', reason: read.reason })
    await new Promise<void>((resolve) => { timers.after(RETRY_DELAY_MS, resolve) })
  }
}
