/**
 * Keeps a superseded owner of a job from placing its tasks.
 *
 * What can go wrong: the owner of an id shard is paused, another takes its jobs over and starts a task's next
 * attempt, and the first wakes and asks another scheduler for an attempt of its own. Hosts can't refuse it, since
 * both schedulers own the hosts that they place on; one would see the task in two places. So each scheduler keeps the
 * highest epoch that it has heard of for each id shard and refuses commands of an older one. A new owner raises the
 * epoch at every scheduler and hears there what runs, before it places anything; what runs under a scheduler that it
 * can't reach it leaves alone.
 *
 * Nor may a repeated command start an attempt that has run already: its answer was lost, its owner asked again, the
 * attempt ended meanwhile and the next one runs elsewhere. So the highest attempt of each task is kept as well.
 */

import { err, ok } from 'neverthrow'
import { FencedError, RefusedError } from '../Errors.js'

import type { Result } from 'neverthrow'
import type { IJobFence } from '../protocol/Types.js'

/** `start`: a new attempt. `known`: the same attempt has been started here before; tell what became of it. */
export type AttemptDecision = 'start' | 'known'

export interface IJobFenceSnapshot {
  /** Highest epoch by id shard. */
  readonly epochs: Readonly<Record<string, number>>
  /** Highest attempt by task. */
  readonly attempts: Readonly<Record<string, number>>
}

export class JobFence {
  private readonly _epochs: Map<string, number>
  private readonly _attempts: Map<string, number>

  public constructor (from?: IJobFenceSnapshot) {
    this._epochs = new Map(Object.entries(from?.epochs ?? {}))
    this._attempts = new Map(Object.entries(from?.attempts ?? {}))
  }

  /** Accepts an epoch that is no older than the highest heard of, and keeps it. */
  public accept (fence: IJobFence, owner: string): Result<void, FencedError> {
    const highest = this._epochs.get(fence.idShard) ?? 0
    if (fence.epoch < highest) return err(new FencedError('job.fence', owner, highest))
    this._epochs.set(fence.idShard, fence.epoch)
    return ok(undefined)
  }

  /** Whether to start an attempt for this owner. */
  public attempt (fence: IJobFence, owner: string, taskId: string, attempt: number): Result<AttemptDecision, FencedError | RefusedError> {
    return this.accept(fence, owner).andThen((): Result<AttemptDecision, RefusedError> => {
      const highest = this._attempts.get(taskId) ?? 0
      if (attempt < highest) return err(new RefusedError('job.attempt', owner, `${taskId}: attempt ${highest} is known`))
      this._attempts.set(taskId, attempt)
      return ok(attempt === highest ? 'known' : 'start')
    })
  }

  /** The highest attempt of a task that was started here, 0 for none; a new owner counts on from the highest of all. */
  public highestAttempt (taskId: string): number {
    return this._attempts.get(taskId) ?? 0
  }

  /** Forgets a task of an ended job; no sooner than the longest time that a command can be on its way. */
  public forget (taskId: string): void {
    this._attempts.delete(taskId)
  }

  /** For the dump of a process, and for the specification, which explores states. */
  public snapshot (): IJobFenceSnapshot {
    return { epochs: Object.fromEntries(this._epochs), attempts: Object.fromEntries(this._attempts) }
  }
}
