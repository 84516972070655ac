/**
 * The handover of the cell from an overloaded owner to a fitter process, with one host and one task. Process `a` owns the cell first. Both
 * machines are fit, and an owner may become overloaded at any time. The decision is the real `ReliefDecision`.
 *
 * Faults: a request to take the cell over arrives at any time or never, its answer is lost, the successor dies, the lease of the owner ends,
 * and orders arrive late.
 */

import { ReliefDecision } from '../src/common/cell/ReliefDecision.js'

import type { ISpec, ISpecEvent } from './Model.js'

const NAMES = ['a', 'b'] as const
const FITNESS = 1
const OVERLOAD_FACTOR = 0.5
/** The ownerships that are explored, with the first. */
const MAX_REVISION = 3
const MAX_LAPSES = 1
/** Past the times for which an owner keeps the cell. */
const LONG_OWNED_MS = 60_000

type Name = typeof NAMES[number]

interface IRequest {
  readonly from: Name
  readonly to: Name
  /** The revision of the record that the sender owned. */
  readonly revision: number
}

interface IProcess {
  isAlive: boolean
  /** The revision of the ownership that the process believes to have; 0 if none. */
  owned: number
  /** The highest revision that the process knows to be written. */
  known: number
  /** Whether its overload as the owner counts. */
  isOverloaded: boolean
  /** Whether an attempt is in progress, or has failed and the delay after it isn't over. */
  attempt: 'none' | 'waiting' | 'failed'
  /** Whether the host has listed its runs to this owner. */
  hasListed: boolean
  knowsRun: boolean
}

export interface IReliefState {
  record: { owner: Name, revision: number } | null
  revision: number
  lapses: number
  processes: Record<Name, IProcess>
  requests: IRequest[]
  /** Start orders in flight, by the revision of their sender. */
  orders: number[]
  hostFence: number
  starts: number
  /** Whether a record was taken that its owner hadn't offered. */
  isStolen: boolean
  /** Whether a process sent an order although it knew of a newer record. */
  isLateOrder: boolean
  /** Whether a handover, and not the end of a lease, left the cell without an owner. */
  isFreed: boolean
  /** Whether a process got the cell by relief while its own overload still counted. */
  isPassedBack: boolean
}

function newProcess (name: Name): IProcess {
  const owned = name === 'a' ? 1 : 0
  return { isAlive: true, owned, known: 1, isOverloaded: false, attempt: 'none', hasListed: owned > 0, knowsRun: false }
}

function createState (): IReliefState {
  return {
    record: { owner: 'a', revision: 1 },
    revision: 1,
    lapses: 0,
    processes: { a: newProcess('a'), b: newProcess('b') },
    requests: [],
    orders: [],
    hostFence: 1,
    starts: 0,
    isStolen: false,
    isLateOrder: false,
    isFreed: false,
    isPassedBack: false
  }
}

function fitnessOf ({ isOverloaded }: IProcess): number {
  return isOverloaded ? FITNESS * OVERLOAD_FACTOR : FITNESS
}

/** Whether the real decision hands the cell from one process to the other. */
function isRelief (state: IReliefState, from: Name, to: Name, mutant: string | undefined): boolean {
  const owner = state.processes[from]
  const peer = state.processes[to]
  const inputs = {
    machineFitness: FITNESS,
    effectiveFitness: fitnessOf(owner),
    isOverloaded: owner.isOverloaded,
    ownedMs: LONG_OWNED_MS,
    isByRelief: owner.owned > 1,
    isConfirmed: owner.known <= owner.owned,
    isStopping: false
  }
  if (mutant === 'no-ratio') return inputs.isOverloaded && inputs.isConfirmed && fitnessOf(peer) >= inputs.effectiveFitness
  const offer = { processId: to, peerUrl: '', incarnation: 1, isWilling: peer.owned === 0, yieldMs: 0, fitness: fitnessOf(peer) }
  return new ReliefDecision().choose(LONG_OWNED_MS, inputs, [offer]) !== undefined
}

function startOwnership (state: IReliefState, name: Name): void {
  state.revision += 1
  state.record = { owner: name, revision: state.revision }
  const process = state.processes[name]
  process.owned = state.revision
  process.known = state.revision
  process.attempt = 'none'
  process.hasListed = false
  process.knowsRun = false
}

function resign (process: IProcess, revision: number): void {
  process.known = Math.max(process.known, revision)
  process.owned = 0
  process.attempt = 'none'
}

/** The called process writes the record, if it has the revision that the request names. */
function deliverRequest (state: IReliefState, index: number, isAnswered: boolean, mutant: string | undefined): void {
  const [request] = state.requests.splice(index, 1)
  if (request === undefined) return
  const sender = state.processes[request.from]
  const called = state.processes[request.to]
  const isExpected = state.record?.revision === request.revision || (mutant === 'unconditional-take' && state.record !== null)
  const isTaken = called.isAlive && called.owned === 0 && isExpected && state.revision < MAX_REVISION
  if (isTaken) {
    state.isStolen ||= state.record?.revision !== request.revision
    state.isPassedBack ||= called.isOverloaded
    startOwnership(state, request.to)
  }
  if (!isAnswered || sender.owned !== request.revision) return
  if (isTaken && mutant !== 'keeps-ordering') resign(sender, state.revision)
  else if (isTaken) sender.known = state.revision
  else sender.attempt = 'failed'
}

function deliverOrder (state: IReliefState, index: number, mutant: string | undefined): void {
  const [fence] = state.orders.splice(index, 1)
  if (fence === undefined || (fence < state.hostFence && mutant !== 'no-fence')) return
  state.starts += 1
}

function eventsOf (state: IReliefState, name: Name, mutant: string | undefined): readonly ISpecEvent[] {
  const process = state.processes[name]
  if (!process.isAlive) return []
  const types: string[] = []
  if (process.owned > 0) {
    if (!process.isOverloaded) types.push('overload')
    if (process.attempt === 'none' && state.requests.length === 0) {
      for (const peer of NAMES) if (peer !== name && state.processes[peer].isAlive && isRelief(state, name, peer, mutant)) types.push(`ask ${peer}`)
    }
    if (process.attempt === 'waiting') types.push('time out')
    if (process.attempt === 'failed' && mutant !== 'asks-once') types.push('wait')
    if (!process.hasListed && state.hostFence <= process.owned) types.push('list')
    if (process.hasListed && !process.knowsRun) types.push('order')
    if (state.record?.revision !== process.owned && process.known <= process.owned) types.push('see record')
  } else {
    if (process.isOverloaded) types.push('recover')
    if (state.record === null && state.revision < MAX_REVISION) types.push('acquire')
  }
  if (name === 'b') types.push('die')
  return types.map((type) => ({ type, by: name }))
}

function sharedEvents (state: IReliefState): readonly ISpecEvent[] {
  const events: ISpecEvent[] = []
  state.requests.forEach((_, index) => { events.push({ type: `take ${index}` }, { type: `take unanswered ${index}` }, { type: `lose ${index}` }) })
  state.orders.forEach((_, index) => { events.push({ type: `arrive ${index}` }) })
  if (state.record !== null && !state.processes[state.record.owner].isAlive) events.push({ type: 'expire' })
  else if (state.record !== null && state.lapses < MAX_LAPSES) events.push({ type: 'lapse' })
  return events
}

function applyProcess (state: IReliefState, name: Name, type: string, mutant: string | undefined): void {
  const process = state.processes[name]
  const [verb, peer] = type.split(' ')
  switch (verb) {
    case 'die': process.isAlive = false; process.owned = 0; return
    case 'overload': process.isOverloaded = true; return
    case 'recover': process.isOverloaded = false; return
    case 'time': process.attempt = 'failed'; return
    case 'wait': process.attempt = 'none'; return
    case 'see': return resign(process, state.revision)
    case 'acquire': return startOwnership(state, name)
    case 'ask':
      process.attempt = 'waiting'
      state.requests.push({ from: name, to: peer as Name, revision: process.owned })
      if (mutant === 'release-first') {
        state.record = null
        state.isFreed = true
      }
      return
    case 'list':
      state.hostFence = process.owned
      process.hasListed = true
      process.knowsRun = state.starts > 0
      return
    case 'order':
      state.isLateOrder ||= process.known > process.owned
      process.knowsRun = true
      state.orders.push(process.owned)
  }
}

function applyShared (state: IReliefState, type: string, mutant: string | undefined): void {
  const [verb, ...rest] = type.split(' ')
  const index = Number(rest.at(-1))
  switch (verb) {
    case 'take': return deliverRequest(state, index, rest.length === 1, mutant)
    case 'lose': state.requests.splice(index, 1); return
    case 'arrive': return deliverOrder(state, index, mutant)
    case 'expire': state.record = null; return
    case 'lapse':
      state.lapses += 1
      state.record = null
  }
}

export const reliefSpec: ISpec<IReliefState> = {
  name: 'relief',
  properties: {
    once: 'the task is started at most once',
    asked: 'the cell is taken only from the ownership whose owner offers it',
    silent: 'no process sends an order after it has learnt that its record was taken',
    owned: 'a handover never leaves the cell without an owner',
    settled: 'no process gets the cell by relief while its own overload counts',
    progress: 'from every state the owner can be relieved, after failed attempts too, until the other process dies or the last ownership has begun'
  },
  bounds: ['two fit processes', 'three ownerships', 'one lease that ends while its owner is alive', 'one request at once', 'one host', 'one task'],
  mutants: {
    'no-fence': 'once',
    'unconditional-take': 'asked',
    'keeps-ordering': 'silent',
    'release-first': 'owned',
    'no-ratio': 'settled',
    'asks-once': 'progress'
  },
  initial: createState,
  events: (state, mutant) => [...NAMES.flatMap((name) => eventsOf(state, name, mutant)), ...sharedEvents(state)],
  apply: (state, event, mutant) => {
    if (event.by !== undefined) applyProcess(state, event.by as Name, event.type, mutant)
    else applyShared(state, event.type, mutant)
  },
  violatedProperties: (state) => {
    const violated: string[] = []
    if (state.starts > 1) violated.push('once')
    if (state.isStolen) violated.push('asked')
    if (state.isLateOrder) violated.push('silent')
    if (state.isFreed) violated.push('owned')
    if (state.isPassedBack) violated.push('settled')
    return violated
  },
  isGoal: (state) => state.revision === MAX_REVISION || !state.processes.b.isAlive,
  unfairEvents: ['die', 'lapse']
}
