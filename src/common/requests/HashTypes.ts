/**
 * The hash functions of xxhash-wasm that are used here, handed in because its module loads asynchronously.
 */

export type Hash64 = (input: string) => string
export type Hash32 = (input: string) => number
