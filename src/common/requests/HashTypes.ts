/**
 * Types of the hash functions of xxhash-wasm, which are passed in because its module loads asynchronously.
 */

export type Hash64 = (input: string) => string
export type Hash32 = (input: string) => number
