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
export function countPlaces ({ cpuMillicores, memoryMb, accelerators }: IResources, step: IStepSpec): number {
  return placesIn(cpuMillicores, memoryMb, accelerators, step)
}

/** The same for amounts that are not held in an object: plans and forecasts compute them for each step and host. */
export function placesIn (cpuMillicores: number, memoryMb: number, accelerators: number, step: IStepSpec): number {
  const neededCpu = step.fills ? 0 : step.cpuMillicores
  if (!fits(cpuMillicores, neededCpu) || !fits(memoryMb, step.memoryMb) || !fits(accelerators, step.accelerators)) return 0
  const byCpu = neededCpu === 0 ? Infinity : cpuMillicores / neededCpu
  const byMemory = step.memoryMb === 0 ? Infinity : memoryMb / step.memoryMb
  const byAccelerators = step.accelerators === 0 ? Infinity : accelerators / step.accelerators
  return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators, step.count)))
}

/** Whether so much is free. What a task doesn't need may be overcommitted. */
export function fits (free: number, needed: number): boolean {
  return needed === 0 || free >= needed
}

/** The resources that one task of the step takes. A filling task takes no processor capacity of its own. */
export function resourcesOf (step: IStepSpec): IResources {
  const { cpuMillicores, memoryMb, accelerators, fills } = step
  return { cpuMillicores: fills ? 0 : cpuMillicores, memoryMb, accelerators }
}

export function addResources (a: IResources, b: IResources, times = 1): IResources {
  if (b === NO_RESOURCES) return a
  return {
    cpuMillicores: a.cpuMillicores + times * b.cpuMillicores,
    memoryMb: a.memoryMb + times * b.memoryMb,
    accelerators: a.accelerators + times * b.accelerators
  }
}
