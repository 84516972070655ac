/**
 * Starts an all-at-once job that is too large for a single scheduler on several of them: `GangReservation` decides which
 * commands to send, and this class sends them.
 */

import { DEFAULT_GANG_OPTIONS, GangReservation } from '../../common/state/GangReservation.js'

import type { IPlaceTaskRequest } from '../../common/protocol/Types.js'
import type { GangCommand } from '../../common/state/GangReservation.js'
import type { JobRun } from './JobRun.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobOwnerContext } from './Types.js'

interface IReservationTry {
  readonly run: JobRun
  readonly tasks: readonly TaskRun[]
  readonly gang: GangReservation
  /** The scheduler that holds the place of each task, by task id. */
  readonly holders: Map<string, string>
  /** A scheduler didn't answer when its reservation was dropped. */
  isInDoubt: boolean
}

type GroupReserverContext = Pick<IJobOwnerContext, 'peers' | 'clock' | 'timers'>

const CALL_TIMEOUT_MS = 1000
/** After this many tries to drop a reservation, the survey of all schedulers finds out which tasks run. */
const MAX_GIVE_BACK_TRIES = 3
const GIVE_BACK_RETRY_MS = 200
/** Added to the pauses of the tasks, which grow with each try. */
const RETRY_AFTER_MS = 50

export class GroupReserver {
  public constructor (private readonly _context: GroupReserverContext) {}

  /** Tries once to start the tasks, whose attempts have begun. Afterwards the tasks run, are queued again, or are missing. */
  public async place (run: JobRun, tasks: readonly TaskRun[], requests: readonly IPlaceTaskRequest[], schedulers: readonly string[]): Promise<void> {
    // The number of the try is the attempt number of its first task, which is higher than in any earlier try.
    const gang = new GangReservation(requests[0]?.attempt ?? 0, requests, schedulers, DEFAULT_GANG_OPTIONS)
    const reservation: IReservationTry = { run, tasks, gang, holders: new Map(), isInDoubt: false }
    while (gang.phase !== 'running' && gang.phase !== 'givenBack') {
      const commands = gang.nextCommands(this._context.clock.nowMs())
      await Promise.all(commands.map(async (command) => { await this._carryOut(reservation, command) }))
    }
    this._applyOutcome(reservation)
  }

  private async _carryOut (reservation: IReservationTry, command: GangCommand): Promise<void> {
    if (command.type === 'reserve') await this._reserve(reservation, command)
    else if (command.type === 'start') await this._startReserved(reservation, command.scheduler)
    else await this._giveBack(reservation, command.scheduler)
  }

  private async _reserve (reservation: IReservationTry, command: GangCommand & { readonly type: 'reserve' }): Promise<void> {
    const { jobId } = reservation.run.job
    const request = { jobId, tasks: command.tasks, expiresMs: command.expiresMs, tryNumber: command.tryNumber }
    const reply = await this._context.peers.call(command.scheduler, 'reserve', request, CALL_TIMEOUT_MS)
    if (reply.isErr()) {
      reservation.gang.reportFailed()
      return
    }
    for (const taskId of reply.value.reservedTaskIds) reservation.holders.set(taskId, command.scheduler)
    reservation.gang.reportReserved(command.scheduler, reply.value.reservedTaskIds)
  }

  private async _startReserved (reservation: IReservationTry, scheduler: string): Promise<void> {
    const reply = await this._context.peers.call(scheduler, 'startReserved', this._reservationRefOf(reservation), CALL_TIMEOUT_MS)
    reservation.gang.reportStarted(scheduler, reply.isOk() && reply.value.started)
  }

  private async _giveBack (reservation: IReservationTry, scheduler: string): Promise<void> {
    for (let tries = 0; tries < MAX_GIVE_BACK_TRIES; tries += 1) {
      const reply = await this._context.peers.call(scheduler, 'dropReservation', this._reservationRefOf(reservation), CALL_TIMEOUT_MS)
      if (reply.isOk()) {
        reservation.gang.reportGivenBack(scheduler)
        return
      }
      await new Promise<void>((resolve) => { this._context.timers.after(GIVE_BACK_RETRY_MS, resolve) })
    }
    reservation.isInDoubt = true
    reservation.gang.reportGivenBack(scheduler)
  }

  private _applyOutcome (reservation: IReservationTry): void {
    const nowMs = this._context.clock.nowMs()
    for (const task of reservation.tasks.filter((each) => each.state === 'starting')) {
      if (reservation.gang.phase === 'running') task.scheduler ??= reservation.holders.get(task.spec.taskId)
      else if (reservation.isInDoubt) this._markInDoubt(reservation.run, task, nowMs)
      else reservation.run.markRefused(task, nowMs, RETRY_AFTER_MS)
    }
  }

  /** Marks a task that may run: it must be found and stopped before the next try. */
  private _markInDoubt (run: JobRun, task: TaskRun, nowMs: number): void {
    task.isStopWanted = true
    run.markLost(task, nowMs)
  }

  private _reservationRefOf (reservation: IReservationTry): { readonly jobId: string, readonly tryNumber: number } {
    return { jobId: reservation.run.job.jobId, tryNumber: reservation.gang.tryNumber }
  }
}
