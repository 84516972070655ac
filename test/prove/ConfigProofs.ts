/**
 * Proofs about the configuration: accepted changes take effect in every process and are never reverted.
 */

import { request } from 'undici'

import { OPERATOR_TOKEN } from '../support/Cell.js'
import { sleep, withCell } from './Harness.js'

import type { Cell } from '../support/Cell.js'
import type { IProof, IProofResult } from './Types.js'

const PROFILE = 'patient'
const OPERATORS = 4
const POLL_MS = 50
const IN_FORCE_LIMIT_MS = 2000
const IN_FORCE_IN_OUTAGE_LIMIT_MS = 5000
const RACE_MS = 8000
const HEADERS = { authorization: `Bearer ${OPERATOR_TOKEN}` }

interface IAcceptedChange {
  readonly revision: number
  readonly atMs: number
  readonly weight: number
}

interface IEntryReply {
  readonly entry?: { readonly revision: number, readonly value: { readonly weight: number } }
}

/** Polls the configuration revision that each process uses, and records when each process was first seen with each revision. */
class RevisionMonitor {
  public readonly violations: string[] = []
  public observations = 0
  private readonly _firstSeenMs = new Map<string, Map<number, number>>()
  private readonly _highest = new Map<string, number>()
  private readonly _timer: NodeJS.Timeout

  public constructor (private readonly _cell: Cell) {
    this._timer = setInterval(() => { this._poll() }, POLL_MS)
  }

  public stop (): void {
    clearInterval(this._timer)
  }

  /** Sets the lowest revision that a process may show after it was killed and restarted: the newest accepted one. */
  public setLowestRevision (processId: string, atLeast: number): void {
    this._highest.set(processId, atLeast)
  }

  /** The time at which a process was first seen with this revision or a later one; Infinity if it never was. */
  public inForceAtMs (processId: string, revision: number): number {
    const seen = [...this._firstSeenMs.get(processId) ?? []].filter(([each]) => each >= revision).map(([, atMs]) => atMs)
    return Math.min(...seen)
  }

  private async _poll (): Promise<void> {
    await Promise.all(this._cell.processes.filter(({ handle }) => handle.isRunning).map(async ({ processId, operatorUrl }) => {
      const reply = await fetchReplicaEntry(operatorUrl)
      if (reply?.entry !== undefined) this._recordRevision(processId, reply.entry.revision)
    }))
  }

  private _recordRevision (processId: string, revision: number): void {
    this.observations += 1
    const highest = this._highest.get(processId) ?? 0
    if (revision < highest) this.violations.push(`${processId} went back from revision ${highest} to ${revision}`)
    this._highest.set(processId, Math.max(highest, revision))
    const seen = this._firstSeenMs.get(processId) ?? new Map<number, number>()
    if (!seen.has(revision)) seen.set(revision, performance.now())
    this._firstSeenMs.set(processId, seen)
  }
}

async function fetchReplicaEntry (operatorUrl: string): Promise<IEntryReply | undefined> {
  try {
    const answer = await request(`${operatorUrl}/v1/config/profile/${PROFILE}?source=replica`, { headers: HEADERS })
    return await answer.body.json() as IEntryReply
  } catch {
    return undefined
  }
}

/** Reads and edits the profile again and again until the given time; returns the accepted changes. */
async function editRepeatedly (cell: Cell, operator: number, untilMs: number): Promise<readonly IAcceptedChange[]> {
  const accepted: IAcceptedChange[] = []
  for (let edit = 1; performance.now() < untilMs; edit++) {
    const process = cell.processes[(operator + edit) % cell.processes.length]
    const change = process === undefined ? undefined : await editOnce(process.operatorUrl, operator + edit / 1000)
    if (change !== undefined) accepted.push(change)
    await sleep(20 * operator)
  }
  return accepted
}

async function editOnce (operatorUrl: string, weight: number): Promise<IAcceptedChange | undefined> {
  try {
    const path = `${operatorUrl}/v1/config/profile/${PROFILE}`
    const seen = await (await request(path, { headers: HEADERS })).body.json() as IEntryReply
    if (seen.entry === undefined) return undefined
    const headers = { ...HEADERS, 'if-match': String(seen.entry.revision), 'content-type': 'application/json' }
    const answer = await request(path, { method: 'PUT', headers, body: JSON.stringify({ ...seen.entry.value, weight }) })
    const reply = await answer.body.json() as IEntryReply
    return answer.statusCode === 200 && reply.entry !== undefined ? { revision: reply.entry.revision, atMs: performance.now(), weight } : undefined
  } catch {
    return undefined
  }
}

function checkInForce (cell: Cell, monitor: RevisionMonitor, accepted: readonly IAcceptedChange[], limitMs: number): void {
  for (const { revision, atMs } of accepted) {
    for (const { processId } of cell.processes) {
      const tookMs = monitor.inForceAtMs(processId, revision) - atMs
      if (!(tookMs <= limitMs)) monitor.violations.push(`${processId} had revision ${revision} ${tookMs.toFixed(0)} ms after it was accepted`)
    }
  }
}

/** Checks that no two accepted changes have the same revision: one of them would have overwritten the other unnoticed. */
function checkDistinct (monitor: RevisionMonitor, accepted: readonly IAcceptedChange[]): void {
  const byRevision = new Map<number, IAcceptedChange>()
  for (const change of accepted) {
    const other = byRevision.get(change.revision)
    if (other !== undefined) monitor.violations.push(`revision ${change.revision} was accepted twice, with weights ${other.weight} and ${change.weight}`)
    byRevision.set(change.revision, change)
  }
}

/** Makes a change, takes the store down at once, and later restarts two processes while the store is still down. */
async function changeThenOutage (cell: Cell, monitor: RevisionMonitor): Promise<readonly IAcceptedChange[]> {
  const last = await editOnce(cell.gateways()[0]?.operatorUrl ?? '', 7)
  await cell.control(cell.storeControlUrl, { outage: 'refuse' })
  if (last === undefined) {
    monitor.violations.push('a change was not accepted with the store up')
    return []
  }
  await sleep(IN_FORCE_IN_OUTAGE_LIMIT_MS)
  checkInForce(cell, monitor, [last], IN_FORCE_IN_OUTAGE_LIMIT_MS)
  for (const victim of [cell.schedulers()[1], cell.gateways()[1]]) {
    if (victim === undefined) continue
    await victim.handle.kill()
    monitor.setLowestRevision(victim.processId, last.revision)
    const restarted = await cell.startDaemon(victim.role, victim.region, victim.processId)
    const reply = await fetchReplicaEntry(restarted.operatorUrl)
    if ((reply?.entry?.revision ?? 0) < last.revision) monitor.violations.push(`${victim.processId} restarted with revision ${reply?.entry?.revision}`)
  }
  await cell.control(cell.storeControlUrl, { outage: 'none' })
  await sleep(IN_FORCE_LIMIT_MS)
  return [last]
}

async function runEditRace (cell: Cell, scale: number): Promise<IProofResult> {
  const monitor = new RevisionMonitor(cell)
  await cell.control(cell.storeControlUrl, { loseAnswers: 0.2, seed: 18 })
  const untilMs = performance.now() + RACE_MS * scale
  const accepted = (await Promise.all(Array.from({ length: OPERATORS }, async (_, index) => await editRepeatedly(cell, index + 1, untilMs)))).flat()
  await sleep(IN_FORCE_LIMIT_MS + POLL_MS)
  checkInForce(cell, monitor, accepted, IN_FORCE_LIMIT_MS)
  checkDistinct(monitor, accepted)
  await cell.control(cell.storeControlUrl, { loseAnswers: 0 })
  await changeThenOutage(cell, monitor)
  monitor.stop()
  return { checked: accepted.length, violations: monitor.violations.slice(0, 10), notes: { observations: monitor.observations } }
}

const profiles: IProof = {
  name: 'profiles',
  isTimed: true,
  property: 'each process decides by a confirmed edit within 2 s, and by no older one afterwards',
  failure: 'four operators race on one profile; the store loses a fifth of its answers, then goes down; processes restart meanwhile',
  run: async (scale) => await withCell({ runnersPerRegion: 1 }, async (cell) => await runEditRace(cell, scale))
}

export const CONFIG_PROOFS: readonly IProof[] = [profiles]
