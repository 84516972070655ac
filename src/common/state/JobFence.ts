/**
 * Decides at a scheduler whether an attempt of a job's task may start there, and records who owns the job.
 *
 * It guards against this failure: the owner of an id shard is paused, another process takes over its jobs and starts a task's
 * next attempt, and then the first owner resumes and requests an attempt of its own from another scheduler. The hosts can't refuse
 * it, since both schedulers own the hosts that they place on, and the task would run in two places. So each scheduler stores the
 * highest known epoch of each id shard and refuses commands with an older one. A new owner announces its epoch to every scheduler
 * and learns what runs there before it places anything. From then on it receives all reports: if the end of a task were reported
 * to the old owner, it would be lost, and the job would never end.
 *
 * A repeated command must not start an attempt that has already run either: its answer may have been lost, so that its owner sent
 * it again, while the attempt ended and the next one runs elsewhere. So the highest attempt of each task is stored as well.
 */

/** A command for one attempt of one task, sent by an owner of its job. */
export interface IJobCommand {
  readonly idShard: string
  /** The epoch in which the sender owns the id shard. */
  readonly epoch: number
  readonly owner: string
  /** Unique among the tasks of all jobs. */
  readonly task: string
  readonly attempt: number
}

/**
 * `start`: a new attempt, to be started. `known`: the same attempt is or was held here, so report its state. `late`: a later
 * attempt is or was held here. `busy`: an earlier attempt is still held here. `superseded`: a newer owner of the job is known.
 */
export type AttemptDecision = 'start' | 'known' | 'late' | 'busy' | 'superseded'

interface IKnownOwner {
  readonly epoch: number
  readonly owner: string
}

interface IKnownTask {
  readonly highest: number
  /** The attempt that is held now, which means queued, starting or running. */
  readonly held?: number
}

export interface IJobFenceSnapshot {
  /** The newest known owner of each id shard. */
  readonly owners: Readonly<Record<string, IKnownOwner>>
  readonly tasks: Readonly<Record<string, IKnownTask>>
}

export class JobFence {
  private readonly _owners: Map<string, IKnownOwner>
  private readonly _tasks: Map<string, IKnownTask>

  public constructor (from?: IJobFenceSnapshot) {
    this._owners = new Map(Object.entries(from?.owners ?? {}))
    this._tasks = new Map(Object.entries(from?.tasks ?? {}))
  }

  /** Records the epoch of an owner. Returns false if a newer one is known. */
  public accept (idShard: string, epoch: number, owner: string): boolean {
    if (epoch < (this._owners.get(idShard)?.epoch ?? 0)) return false
    this._owners.set(idShard, { epoch, owner })
    return true
  }

  /** The process to which the tasks of the id shard's jobs are reported. */
  public ownerOf (idShard: string): string | undefined {
    return this._owners.get(idShard)?.owner
  }

  /** Decides whether to start an attempt. It counts as known only once it is recorded as held, since there may be no room for it. */
  public decide (command: IJobCommand): AttemptDecision {
    if (!this.accept(command.idShard, command.epoch, command.owner)) return 'superseded'
    const known = this._tasks.get(command.task)
    if (known === undefined) return 'start'
    if (command.attempt === known.highest) return 'known'
    if (command.attempt < known.highest) return 'late'
    return known.held === undefined ? 'start' : 'busy'
  }

  /** Records that an attempt is held here from now on. */
  public recordHeld (task: string, attempt: number): void {
    this._tasks.set(task, { highest: this._highest(task, attempt), held: attempt })
  }

  /** Records that an attempt is no longer held here, or has ended without having been held. */
  public recordGone (task: string, attempt: number): void {
    const held = this._tasks.get(task)?.held
    const highest = this._highest(task, attempt)
    this._tasks.set(task, held === undefined || held === attempt ? { highest } : { highest, held })
  }

  /** The attempt that is held here, if any. */
  public heldAttempt (task: string): number | undefined {
    return this._tasks.get(task)?.held
  }

  /** Forgets a task that isn't held. To be called no sooner than after the longest time for which a command can be in flight. */
  public forget (task: string): void {
    if (this.heldAttempt(task) === undefined) this._tasks.delete(task)
  }

  /** The state as plain data, for the specification, which explores states. */
  public snapshot (): IJobFenceSnapshot {
    return { owners: Object.fromEntries(this._owners), tasks: Object.fromEntries(this._tasks) }
  }

  private _highest (task: string, attempt: number): number {
    return Math.max(this._tasks.get(task)?.highest ?? 0, attempt)
  }
}
