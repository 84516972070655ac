/**
 * Announces a new owner to gateways that can't reach the store: the owner reads the addresses of all processes, dials those without a link,
 * and sends them its record.
 *
 * If the store refuses some machines, their gateways would otherwise keep the link to the previous owner, and refuse all callers for as
 * long as that lasts, although they could reach the new owner.
 */

import type { IMetadataItem, IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import { MEMBER_PREFIX } from './Keys.js'
import { MalformedRecords } from './MalformedRecords.js'
import { decodeMember } from './StoredRecords.js'
import type { IMemberRecord } from './StoredRecords.js'
import type { IOwnerRecord } from './Types.js'

interface IMember extends IMemberRecord {
  readonly processId: string
}

/** Most processes learn of a new owner from the store and dial it. The owner dials the others after this time, in ms. */
const DIAL_DELAY_MS = 250
/** A process that can't be reached for this long, in ms, is gone, or learns of the owner by itself when it is back. */
const DIAL_DURATION_MS = 8000
const COMMIT_TIMEOUT_MS = 1500
const RETRY_DELAY_MS = 1000

/** Stores where this process can be reached, and retries until it is stored. */
export function registerMember (store: IMetadataStore, hub: IPeerHub, peerUrl: string, timers: ITimers, log: ILogger): void {
  const key = MEMBER_PREFIX + hub.self.processId
  const value = JSON.stringify({ peerUrl } satisfies IMemberRecord)
  store.commit({ expect: [], puts: [{ key, value }], removes: [] }, COMMIT_TIMEOUT_MS).then((outcome) => {
    if (outcome.kind !== 'committed') timers.after(RETRY_DELAY_MS, () => { registerMember(store, hub, peerUrl, timers, log) })
  }, (error: unknown) => { log.error('member.registerFailed', { reason: String(error) }) })
}

/** While this process owns the cell: sends its record to each peer that links up, and dials those that don't. */
export class OwnerAnnouncer implements IDisposable {
  private readonly _disposables: IDisposable[] = []
  private readonly _malformed: MalformedRecords

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _hub: IPeerHub,
    private readonly _record: IOwnerRecord,
    private readonly _timers: ITimers,
    private readonly _log: ILogger
  ) {
    this._malformed = new MalformedRecords(_log)
    for (const link of _hub.links()) link.cast('cellOwner', _record)
    this._disposables.push(_hub.onLink((link) => { link.cast('cellOwner', _record) }))
    this._disposables.push(_timers.after(DIAL_DELAY_MS, () => { this._dialOthers() }))
  }

  public dispose (): void {
    for (const disposable of this._disposables.splice(0)) disposable.dispose()
  }

  private _dialOthers (): void {
    this._store.range(MEMBER_PREFIX).then((read) => {
      if (read.kind === 'failed' || this._disposables.length === 0) return
      const members = read.value.items.flatMap((item) => this._decode(item))
      const missing = members.filter(({ processId }) => processId !== this._hub.self.processId && this._hub.link(processId) === undefined)
      this._log.info('owner.dials', { revision: this._record.revision, members: members.length, missing: missing.length })
      const dials = missing.map(({ processId, peerUrl }) => this._hub.dial(peerUrl, processId))
      const dispose = (): void => { for (const dial of dials) dial.dispose() }
      this._disposables.push({ dispose }, this._timers.after(DIAL_DURATION_MS, dispose))
    }).catch((error: unknown) => { this._log.error('owner.dialFailed', { reason: String(error) }) })
  }

  private _decode (item: IMetadataItem): readonly IMember[] {
    const decoded = decodeMember(item)
    this._malformed.record(item.key, decoded.isErr() ? [decoded.error] : [])
    return decoded.isErr() ? [] : [{ processId: item.key.slice(MEMBER_PREFIX.length), peerUrl: decoded.value.peerUrl }]
  }
}
