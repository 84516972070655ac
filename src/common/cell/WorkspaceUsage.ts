/**
 * What each workspace may have running together, and what it has. A run counts from the allocation of its resources until it is certain
 * that it runs nowhere, so runs in doubt, runs that are being stopped and runs of earlier owners count.
 */

import { NO_RESOURCES, addResources, countPlaces, resourcesOf } from './Resources.js'

import type { IResources } from './Resources.js'
import type { IStepSpec, IWorkspace } from './Types.js'

const NO_LIMIT: IResources = { cpuMillicores: Infinity, memoryMb: Infinity, accelerators: Infinity }

export class WorkspaceUsage {
  private readonly _limits = new Map<string, IResources>()
  private readonly _used = new Map<string, IResources>()

  /** Applies the limits of a configuration. A workspace that is no longer in it keeps its last limit, since its jobs go on. */
  public setLimits (workspaces: readonly IWorkspace[]): void {
    for (const { name, maximum } of workspaces) this._limits.set(name, withoutZeros(maximum))
  }

  public addRun (workspace: string, step: IStepSpec): void {
    this._used.set(workspace, addResources(this.usedBy(workspace), resourcesOf(step)))
  }

  public removeRun (workspace: string, step: IStepSpec): void {
    this._used.set(workspace, addResources(this.usedBy(workspace), resourcesOf(step), -1))
  }

  public usedBy (workspace: string): IResources {
    return this._used.get(workspace) ?? NO_RESOURCES
  }

  /** How many more tasks of the step the workspace may run now, with `keepFree` left over. */
  public placesFor (workspace: string, step: IStepSpec, keepFree = NO_RESOURCES): number {
    const free = addResources(this._limitOf(workspace), this.usedBy(workspace), -1)
    return countPlaces(addResources(free, keepFree, -1), step)
  }

  public isLimited (workspace: string): boolean {
    return this._limits.has(workspace)
  }

  /** Whether the workspace may run the step beside what uses `lasting`: one task after the other, or all together if it is a gang. */
  public couldRun (workspace: string, step: IStepSpec, lasting = NO_RESOURCES): boolean {
    return countPlaces(addResources(this._limitOf(workspace), lasting, -1), step) >= (step.gang ? step.count : 1)
  }

  public isOverLimit (workspace: string): boolean {
    const { cpuMillicores, memoryMb, accelerators } = addResources(this._limitOf(workspace), this.usedBy(workspace), -1)
    return Math.min(cpuMillicores, memoryMb, accelerators) < 0
  }

  /** Whether the workspace uses less than half of what it may have of each resource. */
  public isHalfFree (workspace: string): boolean {
    const { cpuMillicores, memoryMb, accelerators } = addResources(this._limitOf(workspace), this.usedBy(workspace), -2)
    return Math.min(cpuMillicores, memoryMb, accelerators) > 0
  }

  /** The processors that each workspace uses, for the state dump and the metrics. */
  public rows (): readonly { readonly workspace: string, readonly usedMillicores: number, readonly maxMillicores: number | undefined }[] {
    return [...this._used].filter(([workspace]) => workspace !== '').map(([workspace, { cpuMillicores }]) => {
      const limit = this._limitOf(workspace).cpuMillicores
      return { workspace, usedMillicores: cpuMillicores, maxMillicores: Number.isFinite(limit) ? limit : undefined }
    })
  }

  private _limitOf (workspace: string): IResources {
    return this._limits.get(workspace) ?? NO_LIMIT
  }
}

function withoutZeros ({ cpuMillicores, memoryMb, accelerators }: IResources): IResources {
  return { cpuMillicores: cpuMillicores || Infinity, memoryMb: memoryMb || Infinity, accelerators: accelerators || Infinity }
}
