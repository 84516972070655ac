/**
 * Tells membership what the store lists.
 *
 * A scheduler follows the members anyway, because it takes over from those that go. A gateway only reads them when it
 * has no link at all: every waiting watch counts against the store's rate, and links and gossip tell it the rest.
 */

import { MEMBER_PREFIX, parseMemberEntry } from '../scheduler/ownership/index.js'

import type { IMember } from '../common/protocol/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { MembershipAgent } from '../peer/MembershipAgent.js'
import type { IPeerHub } from '../peer/Types.js'
import type { IKeyValueStore, IStoreRecord } from '../runtime/Types.js'
import type { IMemberEntry, ShardOwner } from '../scheduler/ownership/index.js'

/** At the target some hundreds of gateways start over again within a day: a read each second from those without links. */
const READ_MS = 1000

/** Feeds a scheduler's membership from the watch of its shard owner. */
export function feedFromOwner (owner: ShardOwner, agent: MembershipAgent): IDisposable {
  const members = owner.onMembersChanged(() => agent.storeAll(owner.members.all().map(toMember)))
  const reachable = owner.onReachable((isReachable) => agent.storeReachable(isReachable))
  return {
    dispose: () => {
      members.dispose()
      reachable.dispose()
    }
  }
}

/** Reads the members at start, and again while no link stands. */
export class MembersReader implements IDisposable {
  private _timer: IDisposable | undefined

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _agent: MembershipAgent
  ) {}

  public async start (): Promise<void> {
    this._timer = this._timers.every(READ_MS, () => { this._readIfAlone() })
    await this._read()
  }

  public dispose (): void {
    this._timer?.dispose()
  }

  private _readIfAlone (): void {
    if (this._hub.links().length === 0) this._read()
  }

  private async _read (): Promise<void> {
    const range = await this._store.range(MEMBER_PREFIX)
    this._agent.storeReachable(range.isOk())
    if (range.isOk()) this._agent.storeAll(toMembers(range.value.records))
  }
}

function toMembers (records: readonly IStoreRecord[]): readonly IMember[] {
  return records.flatMap((record) => {
    const entry = parseMemberEntry(record.value)
    return entry === undefined ? [] : [toMember(entry)]
  })
}

function toMember ({ draining, ...entry }: IMemberEntry): IMember {
  return { ...entry, state: draining ? 'leaving' : 'alive' }
}
