/**
 * Proposes an owner for each shard. Every scheduler computes the same proposal from the same members and records, so no leader is
 * needed. Ownership is decided by compare-and-swap only; a proposal from an outdated view costs one failed write.
 *
 * Shards with hosts are assigned to schedulers of their region, since each dispatch to another region takes 20 ms and is charged
 * by volume. Within a group (kind and region) the shards are spread evenly: plain rendezvous hashing of few shards over few
 * members assigns some members twice their share, and their hosts would wait for a busy scheduler.
 */

import xxhash from 'xxhash-wasm'

import type { IShardSpec } from './Types.js'

export interface ICandidate {
  readonly processId: string
  readonly region: string
}

/** A 32-bit hash function of a text. */
export type Hash32 = (text: string) => number

/** Creates a 32-bit xxHash function. To be called once, at start, since it compiles WebAssembly. */
export async function createHash32 (): Promise<Hash32> {
  const { h32 } = await xxhash()
  return (text) => h32(text)
}

interface IGroup {
  readonly name: string
  readonly region: string | undefined
  readonly shards: IShardSpec[]
}

interface IQuota {
  readonly processId: string
  /** The number of shards that it may still get. */
  remaining: number
}

export class ShardAssignment {
  public constructor (private readonly _hash: Hash32) {}

  /**
   * Proposes an owner for each shard. Present owners keep their shards up to an even share, so that a change of members moves as
   * few shards as possible. The proposal is empty if there are no candidates.
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
    const quotas = this._computeQuotas(group, candidates, ownerOf)
    const unassigned: IShardSpec[] = []
    for (const shard of this._byHash(group.shards, (each) => `${group.name}|${each.shardId}`)) {
      const quota = quotas.find((each) => each.processId === ownerOf(shard.shardId))
      if (quota === undefined || quota.remaining === 0) unassigned.push(shard)
      else this._assign(shard, quota, proposal)
    }
    for (const shard of unassigned) {
      const quota = this._chooseQuota(shard, quotas)
      if (quota !== undefined) this._assign(shard, quota, proposal)
    }
  }

  private _assign (shard: IShardSpec, quota: IQuota, proposal: Map<string, string>): void {
    quota.remaining -= 1
    proposal.set(shard.shardId, quota.processId)
  }

  /** Computes even quotas. The remainder goes to the members that own the most shards now, so that fewer shards move. */
  private _computeQuotas (group: IGroup, candidates: readonly ICandidate[], ownerOf: (shardId: string) => string | undefined): readonly IQuota[] {
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
      .map((each, index) => ({ processId: each.processId, remaining: index < extras ? share + 1 : share }))
  }

  /** The member with the highest hash of shard and process among those whose quota is not used up. */
  private _chooseQuota (shard: IShardSpec, quotas: readonly IQuota[]): IQuota | undefined {
    const available = quotas.filter((each) => each.remaining > 0)
    return this._byHash(available, (each) => `${shard.shardId}|${each.processId}`)[0]
  }

  private _byHash<T> (items: readonly T[], text: (item: T) => string): T[] {
    return items
      .map((item) => ({ item, weight: this._hash(text(item)), text: text(item) }))
      .sort((left, right) => right.weight - left.weight || (left.text < right.text ? -1 : 1))
      .map(({ item }) => item)
  }
}
