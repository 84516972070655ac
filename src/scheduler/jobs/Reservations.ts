/**
 * Places held on this scheduler's workers for all-at-once jobs that span schedulers, until all of their places are held
 * everywhere or the reservation expires. Which try of a job is acted on, `HeldTries` decides.
 */

import { HeldTries } from '../../common/state/HeldTries.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { IPlaceTask, IReservationRef, IReserveReply, IReserveRequest } from '../../common/protocol/Types.js'
import type { IDisposable } from '../../common/Types.js'
import type { TaskService } from './TaskService.js'
import type { ITaskServiceContext } from './Types.js'

interface IReservation {
  readonly tryNumber: number
  readonly tasks: readonly IPlaceTask[]
  readonly forgetting: IDisposable
}

/** Longer than any command of a try is on its way. */
const KEPT_MS = 60_000

export class Reservations implements IDisposable {
  private readonly _tries = new HeldTries()
  private readonly _byJob = new Map<string, IReservation>()

  public constructor (
    private readonly _context: Pick<ITaskServiceContext, 'engine' | 'clock' | 'timers'>,
    private readonly _tasks: TaskService
  ) {}

  public dispose (): void {
    for (const { forgetting } of this._byJob.values()) forgetting.dispose()
    this._byJob.clear()
  }

  /** Holds places for as many of the tasks as there is room for now; it waits for none, so that two jobs never wait for each other. */
  public reserve (ask: IReserveRequest): IReserveReply {
    const { tryNumber } = ask
    if (!this._tries.begin(ask.jobId, tryNumber)) return { reservedTaskIds: [] }
    this._note(ask.jobId, tryNumber, ask.tasks)
    const items = this._items(ask.tasks)
    if (items === undefined) return { reservedTaskIds: [] }
    const groupId = groupIdOf(ask.jobId, tryNumber)
    const expiresAtMs = this._context.clock.nowMs() + ask.expiresMs
    const held = new Set(this._context.engine.reserve(groupId, items, expiresAtMs))
    const placed = items.filter((item) => held.has(item.id))
    if (placed.length === 0) this._context.engine.dropReservation(groupId)
    // What found no room is left out, because a reservation can be started only when it is whole.
    const kept = placed.length === 0 || placed.length === items.length ? held : new Set(this._context.engine.reserve(groupId, placed, expiresAtMs))
    return { reservedTaskIds: ask.tasks.filter((_task, index) => kept.has(items[index]?.id ?? '')).map(({ task }) => task.taskId) }
  }

  /** Starts everything that is held for this try; false when it isn't held any more. */
  public start (ref: IReservationRef): { readonly started: boolean } {
    const reservation = this._byJob.get(ref.jobId)
    if (reservation === undefined || !this._tries.mayStart(ref.jobId, ref.tryNumber)) return { started: false }
    if (!this._mayStillPlace(reservation)) return { started: false }
    const places = this._context.engine.startReserved(groupIdOf(ref.jobId, reservation.tryNumber))
    if (places === undefined) return { started: false }
    for (const { item, hostId } of places) {
      const ask = reservation.tasks.find((task) => this._tasks.itemIdOf(task) === item.id)
      if (ask !== undefined) this._tasks.hold(ask, item)
      this._tasks.runner.startPlaced(item, hostId)
    }
    return { started: true }
  }

  /** Gives the places back, stops what was started for this try, and acts on no further command of it. */
  public drop (ref: IReservationRef): { readonly dropped: boolean } {
    const { tryNumber } = ref
    const reservation = this._byJob.get(ref.jobId)
    if (!this._tries.giveBack(ref.jobId, tryNumber)) return { dropped: true }
    const tasks = reservation?.tryNumber === tryNumber ? reservation.tasks : []
    this._context.engine.dropReservation(groupIdOf(ref.jobId, tryNumber))
    for (const { jobId, task, attempt } of tasks) this._tasks.cancel({ jobId, taskId: task.taskId, attempt })
    this._note(ref.jobId, tryNumber, [])
    this._tasks.runner.pump()
    return { dropped: true }
  }

  /**
   * Whether whoever reserved still owns the job. Its successor, who has been told that none of the tasks runs, may
   * have started them by now; started here too, each would be on two hosts.
   */
  private _mayStillPlace (reservation: IReservation): boolean {
    return reservation.tasks.every((task) => this._tasks.answerKnown(task) === undefined)
  }

  private _items (tasks: readonly IPlaceTask[]): readonly IWorkItem[] | undefined {
    if (tasks.some((task) => this._tasks.answerKnown(task) !== undefined)) return undefined
    const items = tasks.map((task) => this._tasks.toItem(task)).filter((item) => item !== undefined)
    return items.length === tasks.length ? items : undefined
  }

  private _note (jobId: string, tryNumber: number, tasks: readonly IPlaceTask[]): void {
    const earlier = this._byJob.get(jobId)
    earlier?.forgetting.dispose()
    if (earlier !== undefined && earlier.tryNumber !== tryNumber) this._context.engine.dropReservation(groupIdOf(jobId, earlier.tryNumber))
    const forgetting = this._context.timers.after(KEPT_MS, () => { this._forget(jobId) })
    this._byJob.set(jobId, { tryNumber, tasks, forgetting })
  }

  private _forget (jobId: string): void {
    this._byJob.delete(jobId)
    this._tries.forget(jobId)
  }
}

function groupIdOf (jobId: string, tryNumber: number): string {
  return `${jobId}#${tryNumber}`
}
