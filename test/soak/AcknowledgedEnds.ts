/**
 * Checks that no task starts again after a run of it has ended as done, if the owner acknowledges that end before or after the start. Ends
 * that are acknowledged only after the lease of their host has ended don't count.
 */

export interface IDoneEnd { readonly hostId: string, readonly task: string, readonly run: number, readonly sequence: number }

interface IRecordedEnd extends IDoneEnd {
  readonly atMs: number
  acknowledgedAtMs: number | undefined
  /** The starts after this end, which are violations once it is acknowledged. */
  readonly laterStarts: string[]
}

export class AcknowledgedEnds {
  /** The ends that count or may still count, by step. */
  private readonly _endsByStep = new Map<string, IRecordedEnd[]>()
  /** The ends that are not acknowledged yet, by host. */
  private readonly _openByHost = new Map<string, IRecordedEnd[]>()

  public constructor (private readonly _report: (violation: string) => void) {}

  public recordDone (end: IDoneEnd): void {
    const recorded: IRecordedEnd = { ...end, atMs: performance.now(), acknowledgedAtMs: undefined, laterStarts: [] }
    listOf(this._endsByStep, stepOf(end.task)).push(recorded)
    listOf(this._openByHost, end.hostId).push(recorded)
  }

  public recordAcknowledged (hostId: string, sequence: number): void {
    const open = listOf(this._openByHost, hostId)
    for (const end of open.filter((each) => each.sequence === sequence)) {
      end.acknowledgedAtMs = performance.now()
      for (const start of end.laterStarts) this._report(`${start}, whose end is acknowledged now`)
    }
    this._openByHost.set(hostId, open.filter((each) => each.sequence !== sequence))
  }

  /** The ends that are not acknowledged yet don't count from now on. */
  public excuse (hostId: string): void {
    for (const end of listOf(this._openByHost, hostId)) {
      const ends = listOf(this._endsByStep, stepOf(end.task))
      this._endsByStep.set(stepOf(end.task), ends.filter((each) => each !== end))
    }
    this._openByHost.delete(hostId)
  }

  public recordStart (hostId: string, task: string, run: number, isGang: boolean): void {
    const nowMs = performance.now()
    for (const end of listOf(this._endsByStep, stepOf(task))) {
      // One end stands for all members of a gang, but a member may start a little after another one of the same run has ended.
      if (end.task !== task && (!isGang || end.run === run)) continue
      const start = `${task} run ${run} started on ${hostId} ${Math.round(nowMs - end.atMs)} ms after ${end.task} run ${end.run} was done on ${end.hostId}`
      if (end.acknowledgedAtMs === undefined) end.laterStarts.push(start)
      else this._report(`${start}, whose end was acknowledged ${Math.round(nowMs - end.acknowledgedAtMs)} ms before`)
    }
  }
}

function stepOf (task: string): string {
  return task.slice(0, task.lastIndexOf('.'))
}

function listOf<T> (lists: Map<string, T[]>, key: string): T[] {
  const list = lists.get(key) ?? []
  lists.set(key, list)
  return list
}
