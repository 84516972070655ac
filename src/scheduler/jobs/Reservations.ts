/**
 * Places that this scheduler reserves on its workers for all-at-once jobs that span several schedulers, until all places
 * of the job are reserved or the reservation expires. `TryFence` decides which try of a job is still valid.
 */

import { TryFence } from '../../common/state/TryFence.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { IPlaceTaskRequest, IReservationRef, IReserveReply, IReserveRequest } from '../../common/protocol/Types.js'
import type { IDisposable } from '../../common/Types.js'
import type { TaskService } from './TaskService.js'
import type { ITaskServiceContext } from './Types.js'

interface IReservation {
  readonly tryNumber: number
  readonly tasks: readonly IPlaceTaskRequest[]
  readonly expiryTimer: IDisposable
}

/** Longer than any command of a try can be in transit. */
const RETENTION_MS = 60_000

export class Reservations implements IDisposable {
  private readonly _tries = new TryFence()
  private readonly _byJob = new Map<string, IReservation>()

  public constructor (
    private readonly _context: Pick<ITaskServiceContext, 'engine' | 'clock' | 'timers'>,
    private readonly _tasks: TaskService
  ) {}

  public dispose (): void {
    for (const { expiryTimer } of this._byJob.values()) expiryTimer.dispose()
    this._byJob.clear()
  }

  /** Reserves places for as many tasks as there is room for now. It never waits for room, so that two jobs can't wait for each other. */
  public reserve (request: IReserveRequest): IReserveReply {
    const { tryNumber } = request
    if (!this._tries.begin(request.jobId, tryNumber)) return { reservedTaskIds: [] }
    this._storeTry(request.jobId, tryNumber, request.tasks)
    const items = this._toItems(request.tasks)
    if (items === undefined) return { reservedTaskIds: [] }
    const groupId = groupIdOf(request.jobId, tryNumber)
    const expiresAtMs = this._context.clock.nowMs() + request.expiresMs
    const held = new Set(this._context.engine.reserve(groupId, items, expiresAtMs))
    const placed = items.filter((item) => held.has(item.id))
    if (placed.length === 0) this._context.engine.dropReservation(groupId)
    // Tasks without room are left out, because a reservation can be started only if it is complete.
    const kept = placed.length === 0 || placed.length === items.length ? held : new Set(this._context.engine.reserve(groupId, placed, expiresAtMs))
    return { reservedTaskIds: request.tasks.filter((_task, index) => kept.has(items[index]?.id ?? '')).map(({ task }) => task.taskId) }
  }

  /** Starts all tasks whose places are reserved for this try; false if the reservation no longer exists. */
  public start (ref: IReservationRef): { readonly started: boolean } {
    const reservation = this._byJob.get(ref.jobId)
    if (reservation === undefined || !this._tries.mayStart(ref.jobId, ref.tryNumber)) return { started: false }
    if (!this._canStillPlace(reservation)) return { started: false }
    const places = this._context.engine.startReserved(groupIdOf(ref.jobId, reservation.tryNumber))
    if (places === undefined) return { started: false }
    for (const { item, hostId } of places) {
      const request = reservation.tasks.find((task) => this._tasks.itemIdOf(task) === item.id)
      if (request !== undefined) this._tasks.holdTask(request, item)
      this._tasks.runner.startPlaced(item, hostId)
    }
    return { started: true }
  }

  /** Drops the reservation, stops the tasks that were started for this try, and ignores further commands of the try. */
  public drop (ref: IReservationRef): { readonly dropped: boolean } {
    const { tryNumber } = ref
    const reservation = this._byJob.get(ref.jobId)
    if (!this._tries.giveBack(ref.jobId, tryNumber)) return { dropped: true }
    const tasks = reservation?.tryNumber === tryNumber ? reservation.tasks : []
    this._context.engine.dropReservation(groupIdOf(ref.jobId, tryNumber))
    for (const { jobId, task, attempt } of tasks) this._tasks.cancel({ jobId, taskId: task.taskId, attempt })
    this._storeTry(ref.jobId, tryNumber, [])
    this._tasks.runner.carryOutDecisions()
    return { dropped: true }
  }

  /**
   * Whether all tasks may still be started: no newer owner of the job is known, and no task is held or has ended here. A newer
   * owner, to which no scheduler reported the tasks as running, may have started them by now; if they were started here too,
   * each would run on two hosts.
   */
  private _canStillPlace (reservation: IReservation): boolean {
    return reservation.tasks.every((task) => this._tasks.answerIfKnown(task) === undefined)
  }

  private _toItems (tasks: readonly IPlaceTaskRequest[]): readonly IWorkItem[] | undefined {
    if (tasks.some((task) => this._tasks.answerIfKnown(task) !== undefined)) return undefined
    const items = tasks.map((task) => this._tasks.toItem(task)).filter((item) => item !== undefined)
    return items.length === tasks.length ? items : undefined
  }

  private _storeTry (jobId: string, tryNumber: number, tasks: readonly IPlaceTaskRequest[]): void {
    const earlier = this._byJob.get(jobId)
    earlier?.expiryTimer.dispose()
    if (earlier !== undefined && earlier.tryNumber !== tryNumber) this._context.engine.dropReservation(groupIdOf(jobId, earlier.tryNumber))
    const expiryTimer = this._context.timers.after(RETENTION_MS, () => { this._forgetJob(jobId) })
    this._byJob.set(jobId, { tryNumber, tasks, expiryTimer })
  }

  private _forgetJob (jobId: string): void {
    this._byJob.delete(jobId)
    this._tries.forget(jobId)
  }
}

function groupIdOf (jobId: string, tryNumber: number): string {
  return `${jobId}#${tryNumber}`
}
