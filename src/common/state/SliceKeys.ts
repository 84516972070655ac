/**
 * The store keys of an id shard's log.
 */

/** The key of the head. `shardId` is an id such as `ids/07`. */
export function headKey (shardId: string): string {
  return `slices/${shardId}/head`
}

export function segmentPrefix (shardId: string): string {
  return `slices/${shardId}/segments/`
}

export function segmentKey (shardId: string, name: string): string {
  return segmentPrefix(shardId) + name
}
