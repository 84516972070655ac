/**
 * Random sampling without replacement.
 */

import type { IRandom } from '../Types.js'

/** Returns up to `count` different items. Each item is chosen with the same probability. */
export function chooseRandom<T> (items: readonly T[], count: number, random: IRandom): readonly T[] {
  const pool = [...items]
  const chosenCount = Math.min(count, pool.length)
  for (let index = 0; index < chosenCount; index++) {
    const otherIndex = index + Math.floor(random.next() * (pool.length - index))
    const picked = pool[otherIndex] as T
    pool[otherIndex] = pool[index] as T
    pool[index] = picked
  }
  return pool.slice(0, chosenCount)
}
