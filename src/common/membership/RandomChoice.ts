/**
 * Choosing some of many at random.
 */

import type { IRandom } from '../Types.js'

/** Up to `count` different items, each choice equally likely. */
export function chooseRandom<T> (items: readonly T[], count: number, random: IRandom): readonly T[] {
  const pool = [...items]
  const chosen = Math.min(count, pool.length)
  for (let index = 0; index < chosen; index++) {
    const other = index + Math.floor(random.next() * (pool.length - index))
    const picked = pool[other] as T
    pool[other] = pool[index] as T
    pool[index] = picked
  }
  return pool.slice(0, chosen)
}
