/**
 * Where an id shard's log stands in the store.
 */

/** `shardId` as in `ids/07`. */
export function headKey (shardId: string): string {
  return `slices/${shardId}/head`
}

export function segmentPrefix (shardId: string): string {
  return `slices/${shardId}/segments/`
}

export function segmentKey (shardId: string, name: string): string {
  return segmentPrefix(shardId) + name
}
