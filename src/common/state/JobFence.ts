/**
 * Decides at a scheduler whether an attempt of a job's task may start there, and who owns the job.
 *
 * What can go wrong: the owner of an id shard is paused, another takes its jobs over and starts a task's next
 * attempt, and the first wakes and asks another scheduler for an attempt of its own. Hosts can't refuse it, since
 * both schedulers own the hosts that they place on; one would see the task in two places. So each scheduler keeps the
 * highest epoch that it has heard of for each id shard and refuses commands of an older one. A new owner raises the
 * epoch at every scheduler and hears there what runs, before it places anything anew. From then on it gets all news:
 * told to the old owner, the end of a task would be lost, and its job would never end.
 *
 * Nor may a repeated command start an attempt that has run already: its answer was lost, its owner asked again, the
 * attempt ended meanwhile and the next one runs elsewhere. So the highest attempt of each task is kept as well.
 */

/** One attempt of one task, on behalf of an owner of its job. */
export interface IJobCommand {
  readonly idShard: string
  /** The epoch under which the owner holds the id shard. */
  readonly epoch: number
  readonly owner: string
  /** Unique among the tasks of all jobs. */
  readonly task: string
  readonly attempt: number
}

/**
 * `start`: a new attempt. `known`: the same attempt is or was held here; tell what became of it. `late`: a later one is
 * or was held here. `busy`: an earlier one is still held here. `superseded`: a newer owner of the job is known.
 */
export type AttemptDecision = 'start' | 'known' | 'late' | 'busy' | 'superseded'

interface IHeardOwner {
  readonly epoch: number
  readonly owner: string
}

interface IKnownTask {
  readonly highest: number
  /** The attempt that is held now: queued, starting or running. */
  readonly held?: number
}

export interface IJobFenceSnapshot {
  /** The newest owner by id shard. */
  readonly owners: Readonly<Record<string, IHeardOwner>>
  readonly tasks: Readonly<Record<string, IKnownTask>>
}

export class JobFence {
  private readonly _owners: Map<string, IHeardOwner>
  private readonly _tasks: Map<string, IKnownTask>

  public constructor (from?: IJobFenceSnapshot) {
    this._owners = new Map(Object.entries(from?.owners ?? {}))
    this._tasks = new Map(Object.entries(from?.tasks ?? {}))
  }

  /** Takes in the epoch of an owner; false when a newer one is known. */
  public accept (idShard: string, epoch: number, owner: string): boolean {
    if (epoch < (this._owners.get(idShard)?.epoch ?? 0)) return false
    this._owners.set(idShard, { epoch, owner })
    return true
  }

  /** The process that is to hear of the tasks of the id shard's jobs. */
  public ownerOf (idShard: string): string | undefined {
    return this._owners.get(idShard)?.owner
  }

  /** Whether to start an attempt. It counts as known only once it is noted as held, since there may be no room for it. */
  public decide (command: IJobCommand): AttemptDecision {
    if (!this.accept(command.idShard, command.epoch, command.owner)) return 'superseded'
    const known = this._tasks.get(command.task)
    if (known === undefined) return 'start'
    if (command.attempt === known.highest) return 'known'
    if (command.attempt < known.highest) return 'late'
    return known.held === undefined ? 'start' : 'busy'
  }

  /** An attempt is held here from now on. */
  public noteHeld (task: string, attempt: number): void {
    this._tasks.set(task, { highest: this._highest(task, attempt), held: attempt })
  }

  /** An attempt is held here no longer, or has ended without having been. */
  public noteGone (task: string, attempt: number): void {
    const held = this._tasks.get(task)?.held
    const highest = this._highest(task, attempt)
    this._tasks.set(task, held === undefined || held === attempt ? { highest } : { highest, held })
  }

  /** The attempt that is held here, if any. */
  public heldAttempt (task: string): number | undefined {
    return this._tasks.get(task)?.held
  }

  /** Forgets a task that isn't held; no sooner than the longest time that a command can be on its way. */
  public forget (task: string): void {
    if (this.heldAttempt(task) === undefined) this._tasks.delete(task)
  }

  /** For the specification, which explores states. */
  public snapshot (): IJobFenceSnapshot {
    return { owners: Object.fromEntries(this._owners), tasks: Object.fromEntries(this._tasks) }
  }

  private _highest (task: string, attempt: number): number {
    return Math.max(this._tasks.get(task)?.highest ?? 0, attempt)
  }
}
