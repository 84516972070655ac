/**
 * Starts an all-at-once job that no single scheduler can hold, over several of them: `GangReservation` says what to send
 * next, and this class sends it.
 */

import { DEFAULT_GANG_OPTIONS, GangReservation } from '../../common/state/GangReservation.js'

import type { IPlaceTask } from '../../common/protocol/Types.js'
import type { GangCommand } from '../../common/state/GangReservation.js'
import type { JobRun } from './JobRun.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobOwnerContext } from './Types.js'

interface ITry {
  readonly run: JobRun
  readonly tasks: readonly TaskRun[]
  readonly gang: GangReservation
  /** Which scheduler holds which task. */
  readonly holders: Map<string, string>
  /** A scheduler that took part didn't answer when its places were given back. */
  isInDoubt: boolean
}

type TryContext = Pick<IJobOwnerContext, 'peers' | 'clock' | 'timers'>

const CALL_TIMEOUT_MS = 1000
/** Giving back is tried this often; then the survey of all schedulers finds out what runs. */
const MAX_GIVE_BACKS = 3
const GIVE_BACK_PAUSE_MS = 200
/** Comes on top of the pauses of the tasks, which grow with each try. */
const RETRY_AFTER_MS = 50

export class GroupReserver {
  public constructor (private readonly _context: TryContext) {}

  /** One try to start the tasks, which have begun their attempts. Afterwards they run, are queued again, or are missing. */
  public async place (run: JobRun, tasks: readonly TaskRun[], asks: readonly IPlaceTask[], schedulers: readonly string[]): Promise<void> {
    // The attempt number of its first task, which is higher than in any earlier try.
    const gang = new GangReservation(asks[0]?.attempt ?? 0, asks, schedulers, DEFAULT_GANG_OPTIONS)
    const attempt: ITry = { run, tasks, gang, holders: new Map(), isInDoubt: false }
    while (gang.phase !== 'running' && gang.phase !== 'givenBack') {
      const commands = gang.commands(this._context.clock.nowMs())
      await Promise.all(commands.map(async (command) => { await this._carryOut(attempt, command) }))
    }
    this._conclude(attempt)
  }

  private async _carryOut (attempt: ITry, command: GangCommand): Promise<void> {
    if (command.type === 'reserve') await this._reserve(attempt, command)
    else if (command.type === 'start') await this._start(attempt, command.scheduler)
    else await this._giveBack(attempt, command.scheduler)
  }

  private async _reserve (attempt: ITry, command: GangCommand & { readonly type: 'reserve' }): Promise<void> {
    const { jobId } = attempt.run.job
    const ask = { jobId, tasks: command.tasks, expiresMs: command.expiresMs, tryNumber: command.tryNumber }
    const reply = await this._context.peers.call(command.scheduler, 'reserve', ask, CALL_TIMEOUT_MS)
    if (reply.isErr()) {
      attempt.gang.failed()
      return
    }
    for (const taskId of reply.value.reservedTaskIds) attempt.holders.set(taskId, command.scheduler)
    attempt.gang.reserved(command.scheduler, reply.value.reservedTaskIds)
  }

  private async _start (attempt: ITry, scheduler: string): Promise<void> {
    const reply = await this._context.peers.call(scheduler, 'startReserved', this._refOf(attempt), CALL_TIMEOUT_MS)
    attempt.gang.started(scheduler, reply.isOk() && reply.value.started)
  }

  private async _giveBack (attempt: ITry, scheduler: string): Promise<void> {
    for (let tries = 0; tries < MAX_GIVE_BACKS; tries += 1) {
      const reply = await this._context.peers.call(scheduler, 'dropReservation', this._refOf(attempt), CALL_TIMEOUT_MS)
      if (reply.isOk()) {
        attempt.gang.gaveBack(scheduler)
        return
      }
      await new Promise<void>((resolve) => { this._context.timers.after(GIVE_BACK_PAUSE_MS, resolve) })
    }
    attempt.isInDoubt = true
    attempt.gang.gaveBack(scheduler)
  }

  private _conclude (attempt: ITry): void {
    const nowMs = this._context.clock.nowMs()
    for (const task of attempt.tasks.filter((each) => each.state === 'starting')) {
      if (attempt.gang.phase === 'running') task.scheduler ??= attempt.holders.get(task.spec.taskId)
      else if (attempt.isInDoubt) this._doubt(attempt.run, task, nowMs)
      else attempt.run.refused(task, nowMs, RETRY_AFTER_MS)
    }
  }

  /** It may run: it has to be found, and stopped before the next try. */
  private _doubt (run: JobRun, task: TaskRun, nowMs: number): void {
    task.isStopWanted = true
    run.lost(task, nowMs)
  }

  private _refOf (attempt: ITry): { readonly jobId: string, readonly tryNumber: number } {
    return { jobId: attempt.run.job.jobId, tryNumber: attempt.gang.tryNumber }
  }
}
