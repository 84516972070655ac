/**
 * Draws one of several items.
 */

import type { SeededRandom } from '../../src/common/Random.js'

export function pickRandom<T> (random: SeededRandom, items: readonly T[]): T {
  const picked = items[Math.floor(random.next() * items.length)]
  if (picked === undefined) throw new Error('nothing to pick from')
  return picked
}
