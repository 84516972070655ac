/**
 * Amounts of the limited resources of hosts: processors, memory and accelerators.
 */

import type { IStepSpec } from './Types.js'

export interface IResources {
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
}

export const NO_RESOURCES: IResources = { cpuMillicores: 0, memoryMb: 0, accelerators: 0 }

/** How many tasks of the step fit into the free resources, at most as many as the step has. */
export function countPlaces (free: IResources, step: IStepSpec): number {
  const { cpuMillicores, memoryMb, accelerators } = resourcesOf(step)
  const byCpu = cpuMillicores === 0 ? Infinity : free.cpuMillicores / cpuMillicores
  const byMemory = memoryMb === 0 ? Infinity : free.memoryMb / memoryMb
  const byAccelerators = accelerators === 0 ? Infinity : free.accelerators / accelerators
  return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators, step.count)))
}

/** The resources that one task of the step takes. A filling task takes no processor capacity of its own. */
export function resourcesOf (step: IStepSpec): IResources {
  const { cpuMillicores, memoryMb, accelerators, fills } = step
  return { cpuMillicores: fills ? 0 : cpuMillicores, memoryMb, accelerators }
}

export function addResources (a: IResources, b: IResources, times = 1): IResources {
  return {
    cpuMillicores: a.cpuMillicores + times * b.cpuMillicores,
    memoryMb: a.memoryMb + times * b.memoryMb,
    accelerators: a.accelerators + times * b.accelerators
  }
}
