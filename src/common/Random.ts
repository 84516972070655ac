/**
 * Random numbers from a seed, by pure-rand, so that a run can be repeated.
 */

import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

import type { RandomGenerator } from 'pure-rand'
import type { IRandom } from './Types.js'

const RESOLUTION = 0x7fffffff

/** A seeded generator. In production the seed comes from the system's random source. */
export class SeededRandom implements IRandom {
  private readonly _generator: RandomGenerator

  public constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  public next (): number {
    return unsafeUniformIntDistribution(0, RESOLUTION - 1, this._generator) / RESOLUTION
  }
}
