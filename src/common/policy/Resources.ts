/**
 * Arithmetic on resource vectors, shared by every part that counts capacity.
 */

import type { IResources } from '../Types.js'

/** A vector that its owner updates in place; all others see it as read-only `IResources`. */
export interface IMutableResources {
  cores: number
  memoryBytes: number
  accelerators: number
}

export const NO_RESOURCES: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

/** Core counts are fractions: a rounding error in a sum of them must not refuse an exact fit. */
export const CORE_ROUNDING = 1e-6

export function zeroResources (): IMutableResources {
  return { cores: 0, memoryBytes: 0, accelerators: 0 }
}

export function addInto (sum: IMutableResources, part: IResources): void {
  sum.cores += part.cores
  sum.memoryBytes += part.memoryBytes
  sum.accelerators += part.accelerators
}

export function subtractFrom (sum: IMutableResources, part: IResources): void {
  sum.cores -= part.cores
  sum.memoryBytes -= part.memoryBytes
  sum.accelerators -= part.accelerators
}

export function difference (a: IResources, b: IResources): IResources {
  return {
    cores: a.cores - b.cores,
    memoryBytes: a.memoryBytes - b.memoryBytes,
    accelerators: a.accelerators - b.accelerators
  }
}

/** The larger value in each dimension. */
export function larger (a: IResources, b: IResources): IResources {
  return {
    cores: Math.max(a.cores, b.cores),
    memoryBytes: Math.max(a.memoryBytes, b.memoryBytes),
    accelerators: Math.max(a.accelerators, b.accelerators)
  }
}

/** Whether `need` fits into `free` in every dimension. */
export function fits (need: IResources, free: IResources): boolean {
  return need.cores <= free.cores + CORE_ROUNDING &&
    need.memoryBytes <= free.memoryBytes &&
    need.accelerators <= free.accelerators
}

/** The share of `whole` that `part` takes in the dimension where it takes most; 0 to 1 for what fits. */
export function dominantShare (part: IResources, whole: IResources): number {
  return Math.max(
    shareOf(part.cores, whole.cores),
    shareOf(part.memoryBytes, whole.memoryBytes),
    shareOf(part.accelerators, whole.accelerators)
  )
}

function shareOf (part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}
