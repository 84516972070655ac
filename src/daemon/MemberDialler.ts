/**
 * Links a process to the schedulers that the store lists.
 */

import { parseMemberEntry, MEMBER_PREFIX } from '../scheduler/ownership/index.js'

import type { IDisposable, ITimers } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRecord } from '../platform/Types.js'

const RETRY_MS = 500

export class MemberDialler implements IDisposable {
  private readonly _dials = new Map<string, { readonly url: string, readonly dial: IDisposable }>()
  private _watch: IDisposable | undefined

  public constructor (private readonly _hub: IPeerHub, private readonly _store: IKeyValueStore, private readonly _timers: ITimers) {}

  public async start (): Promise<void> {
    const range = await this._store.range(MEMBER_PREFIX)
    if (range.isErr()) {
      this._watch = this._timers.after(RETRY_MS, () => this.start())
      return
    }
    for (const record of range.value.records) this._see(record)
    this._watch = this._store.watch(MEMBER_PREFIX, range.value.revision, {
      onChanges: (changes) => changes.forEach((change) => this._changed(change)),
      onReset: (whole) => whole.records.forEach((record) => this._see(record)),
      onReachable: () => {}
    })
  }

  public dispose (): void {
    this._watch?.dispose()
    for (const { dial } of this._dials.values()) dial.dispose()
  }

  /** A member whose entry is gone stays dialled: the store forgets members in an outage that their links survive. */
  private _changed (change: IStoreChange): void {
    if (!change.deleted) this._see(change)
  }

  private _see (record: IStoreRecord): void {
    const member = parseMemberEntry(record.value)
    if (member === undefined || member.role !== 'scheduler' || member.processId === this._hub.self.processId) return
    const known = this._dials.get(member.processId)
    if (known?.url === member.peerUrl) return
    const dial = this._hub.dial(member.peerUrl, member.processId)
    known?.dial.dispose()
    this._dials.set(member.processId, { url: member.peerUrl, dial })
  }
}
