/**
 * Passes the members that are listed in the store to the membership agent.
 *
 * A scheduler watches the members in any case, because it takes over shards from members that leave. A gateway reads them only at
 * its start and while it has no link: every open watch counts against the store's rate limit, and once a link exists, the gateway
 * learns of other members by gossip.
 */

import { MEMBER_PREFIX, parseMemberEntry } from '../scheduler/ownership/index.js'

import type { IMember } from '../common/protocol/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { MembershipAgent } from '../peer/MembershipAgent.js'
import type { IPeerHub } from '../peer/Types.js'
import type { IKeyValueStore, IStoreRecord } from '../runtime/Types.js'
import type { IMemberEntry, ShardOwner } from '../scheduler/ownership/index.js'

/**
 * How often a gateway without links reads the members, in ms. In a cell of the target size, some hundreds of gateways restart within
 * a day, and each of them reads the members once a second until it has a link.
 */
const READ_INTERVAL_MS = 1000

/** Passes the members that the shard owner watches to the scheduler's membership agent. */
export function forwardMembers (owner: ShardOwner, agent: MembershipAgent): IDisposable {
  const members = owner.onMembersChanged(() => agent.onStoreSnapshot(owner.members.all().map(toMember)))
  const reachable = owner.onReachable((isReachable) => agent.onStoreReachable(isReachable))
  return {
    dispose: () => {
      members.dispose()
      reachable.dispose()
    }
  }
}

/** Reads the members at the start, and periodically while this process has no link. */
export class MembersReader implements IDisposable {
  private _timer: IDisposable | undefined

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _agent: MembershipAgent
  ) {}

  public async start (): Promise<void> {
    this._timer = this._timers.every(READ_INTERVAL_MS, () => { this._readIfUnlinked() })
    await this._read()
  }

  public dispose (): void {
    this._timer?.dispose()
  }

  private _readIfUnlinked (): void {
    if (this._hub.links().length === 0) this._read()
  }

  private async _read (): Promise<void> {
    const range = await this._store.range(MEMBER_PREFIX)
    this._agent.onStoreReachable(range.isOk())
    if (range.isOk()) this._agent.onStoreSnapshot(toMembers(range.value.records))
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
