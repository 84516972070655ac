/**
 * Who should own which shard: a proposal that every scheduler computes alike from the same members and records, so
 * that no leader is needed. Only the compare-and-swap decides; a proposal from a stale view costs a lost write.
 *
 * Shards with hosts go to schedulers of their region, because each dispatch to another region costs 20 ms and is
 * paid by volume. Within a group (kind and region) the shards are spread evenly: plain rendezvous hashing of few
 * shards over few members leaves some with twice their share, and their hosts would wait for a busy scheduler.
 */

import xxhash from 'xxhash-wasm'

import type { IShardSpec } from './Types.js'

export interface ICandidate {
  readonly processId: string
  readonly region: string
}

/** A 32-bit hash of a text. */
export type Hash32 = (text: string) => number

/** xxHash of 32 bits, compiled once at start. */
export async function createHash32 (): Promise<Hash32> {
  const { h32 } = await xxhash()
  return (text) => h32(text)
}

interface IGroup {
  readonly name: string
  readonly region: string | undefined
  readonly shards: IShardSpec[]
}

interface IRoom {
  readonly processId: string
  /** Shards that it may still get. */
  room: number
}

export class ShardAssignment {
  public constructor (private readonly _hash: Hash32) {}

  /**
   * Proposes an owner for each shard. Present owners keep theirs up to an even share, so that a change of members
   * moves no more than it must. No candidates: an empty proposal.
   *
   * @param ownerOf the present owner, if it is alive
   */
  public propose (
    shards: readonly IShardSpec[], candidates: readonly ICandidate[], ownerOf: (shardId: string) => string | undefined
  ): ReadonlyMap<string, string> {
    const proposal = new Map<string, string>()
    if (candidates.length === 0) return proposal
    for (const group of this._groups(shards)) this._proposeGroup(group, candidates, ownerOf, proposal)
    return proposal
  }

  private _groups (shards: readonly IShardSpec[]): readonly IGroup[] {
    const groups = new Map<string, IGroup>()
    for (const shard of shards) {
      const name = `${shard.kind}@${shard.region ?? ''}`
      const group = groups.get(name) ?? { name, region: shard.region, shards: [] }
      group.shards.push(shard)
      groups.set(name, group)
    }
    return [...groups.values()]
  }

  private _proposeGroup (
    group: IGroup, candidates: readonly ICandidate[], ownerOf: (shardId: string) => string | undefined, proposal: Map<string, string>
  ): void {
    const rooms = this._rooms(group, candidates, ownerOf)
    const open: IShardSpec[] = []
    for (const shard of this._byHash(group.shards, (each) => `${group.name}|${each.shardId}`)) {
      const room = rooms.find((each) => each.processId === ownerOf(shard.shardId))
      if (room === undefined || room.room === 0) open.push(shard)
      else this._give(shard, room, proposal)
    }
    for (const shard of open) {
      const room = this._best(shard, rooms)
      if (room !== undefined) this._give(shard, room, proposal)
    }
  }

  private _give (shard: IShardSpec, room: IRoom, proposal: Map<string, string>): void {
    room.room -= 1
    proposal.set(shard.shardId, room.processId)
  }

  /** Even shares. What doesn't divide goes to those who own the most now, so that it need not move. */
  private _rooms (group: IGroup, candidates: readonly ICandidate[], ownerOf: (shardId: string) => string | undefined): readonly IRoom[] {
    const near = candidates.filter((candidate) => candidate.region === group.region)
    const eligible = near.length > 0 ? near : candidates
    const share = Math.floor(group.shards.length / eligible.length)
    const extras = group.shards.length % eligible.length
    const counts = new Map<string, number>()
    for (const shard of group.shards) {
      const owner = ownerOf(shard.shardId)
      if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1)
    }
    const owned = (processId: string): number => counts.get(processId) ?? 0
    return this._byHash(eligible, (each) => `${group.name}|${each.processId}`)
      .sort((left, right) => owned(right.processId) - owned(left.processId))
      .map((each, index) => ({ processId: each.processId, room: index < extras ? share + 1 : share }))
  }

  /** Of those with room, the one with the highest hash of shard and process. */
  private _best (shard: IShardSpec, rooms: readonly IRoom[]): IRoom | undefined {
    const open = rooms.filter((each) => each.room > 0)
    return this._byHash(open, (each) => `${shard.shardId}|${each.processId}`)[0]
  }

  private _byHash<T> (items: readonly T[], text: (item: T) => string): T[] {
    return items
      .map((item) => ({ item, weight: this._hash(text(item)), text: text(item) }))
      .sort((left, right) => right.weight - left.weight || (left.text < right.text ? -1 : 1))
      .map(({ item }) => item)
  }
}
