/**
 * Decides which jobs are within the share of their workspace, counted in work (core-milliseconds).
 *
 * Designed for a cell that is nearly full and a workspace that sends many times its usual: what the workspaces ask for together exceeds
 * what the hosts can do, and the excess is one workspace's. Jobs are few and of very different size, so their number says little of what
 * a workspace uses.
 */

import type { MonotonicMs } from '../Types.js'
import type { Job } from './Job.js'
import type { IWorkspace } from './Types.js'

/** Past work counts by half after this time, in ms: a few times as long as usual jobs take. */
const HALF_LIFE_MS = 10_000
/** Work that arrives evenly amounts to this many ms of its rate, with that half-life. */
const WINDOW_MS = HALF_LIFE_MS / Math.LN2
/** What work can use of the hosts' processors, as a share: pieces of hosts are too small for the next task, or wait for a gang. */
const USABLE_SHARE = 0.85
export const MILLICORES_PER_CORE = 1000

interface IUse {
  coreMs: number
  atMs: MonotonicMs
}

/** What a workspace uses and may use, as mean cores over the recent past. */
export interface IShareRow {
  readonly workspace: string
  readonly usedCores: number
  /** Undefined while there is enough for all. */
  readonly shareCores: number | undefined
}

export class WorkspaceShares {
  private _weights: ReadonlyMap<string, number> = new Map()
  private readonly _uses = new Map<string, IUse>()

  public get hasWeights (): boolean {
    return this._weights.size > 0
  }

  /** Applies the weights of a configuration. Without a weight, a workspace has no share to exceed. */
  public setWeights (workspaces: readonly IWorkspace[]): void {
    this._weights = new Map(workspaces.filter(({ weight }) => weight > 0).map(({ name, weight }) => [name, weight]))
  }

  /**
   * Adds the work of an accepted job to the use of its workspace, and returns whether the use exceeded the share before. So a single job
   * is within the share however large it is.
   *
   * @param cores the processors of the hosts that can take work
   */
  public recordJob (job: Job, cores: number, nowMs: MonotonicMs): boolean {
    if (!this._weights.has(job.workspace)) return false
    const isBeyond = this.isBeyondShare(job.workspace, cores, nowMs)
    this.addWork(job.workspace, workCoreMs(job), nowMs)
    return isBeyond
  }

  /** Adds work that was accepted at this time, which may be earlier than that of the last one. */
  public addWork (workspace: string, coreMs: number, atMs: MonotonicMs): void {
    const use = this._uses.get(workspace)
    if (use === undefined) {
      this._uses.set(workspace, { coreMs, atMs })
      return
    }
    const latestMs = Math.max(use.atMs, atMs)
    use.coreMs = decayed(use, latestMs) + decayed({ coreMs, atMs }, latestMs)
    use.atMs = latestMs
  }

  public isBeyondShare (workspace: string, cores: number, nowMs: MonotonicMs): boolean {
    return this._usedCores(workspace, nowMs) > (this._weights.get(workspace) ?? Infinity) * this._coresPerWeight(cores, nowMs)
  }

  /** The use and the share of each workspace, for the state dump. */
  public rows (cores: number, nowMs: MonotonicMs): readonly IShareRow[] {
    const perWeight = this._coresPerWeight(cores, nowMs)
    return [...this._weights].map(([workspace, weight]) =>
      ({ workspace, usedCores: this._usedCores(workspace, nowMs), shareCores: Number.isFinite(perWeight) ? weight * perWeight : undefined }))
  }

  /**
   * The cores for each unit of weight, if those who ask for less get what they ask for and the others share the rest by weight (max-min
   * fairness). Infinity if there is enough for all.
   */
  private _coresPerWeight (cores: number, nowMs: MonotonicMs): number {
    const users = [...this._weights].map(([workspace, weight]) => ({ usedCores: this._usedCores(workspace, nowMs), weight }))
      .sort((a, b) => a.usedCores / a.weight - b.usedCores / b.weight)
    let leftCores = cores * USABLE_SHARE
    let leftWeight = users.reduce((sum, { weight }) => sum + weight, 0)
    for (const { usedCores, weight } of users) {
      const perWeight = leftCores / leftWeight
      if (usedCores > weight * perWeight) return perWeight
      leftCores -= usedCores
      leftWeight -= weight
    }
    return Infinity
  }

  private _usedCores (workspace: string, nowMs: MonotonicMs): number {
    const use = this._uses.get(workspace)
    return use === undefined ? 0 : decayed(use, nowMs) / WINDOW_MS
  }
}

/** The estimated work of all tasks of the job, in core-milliseconds. */
export function workCoreMs ({ spec }: Job): number {
  return spec.steps.reduce((sum, { count, cpuMillicores, estimateMs }) => sum + count * cpuMillicores * estimateMs, 0) / MILLICORES_PER_CORE
}

function decayed ({ coreMs, atMs }: IUse, nowMs: MonotonicMs): number {
  return coreMs * 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS)
}
