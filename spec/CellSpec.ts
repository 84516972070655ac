/**
 * One task of one job in a cell: owner `a` accepts the job, owner `b` takes it over, and there are two hosts. The
 * specification defines in which order the owner of a cell may use the store and the hosts of the users' platform, which is
 * the order in `src/cell` and `src/common/cell`.
 *
 * Faults of the platform: a write or an order is carried out late, twice, or without an answer to its sender; the store's
 * record passes to `b` while `a` is still alive; one host is cut off and runs its task until its lease has ended.
 */

import type { ISpec, ISpecEvent } from './Model.js'

type OwnerName = 'a' | 'b'

const HOSTS = [0, 1] as const
/** The highest run of each owner: `a` starts the task once, on the host that may be cut off; `b` starts it once more, on any host. */
const MAX_RUN_BY_OWNER: Readonly<Record<OwnerName, number>> = { a: 1, b: 2 }
/** The number of copies of a run's record that may be in flight at once. */
const MAX_COPIES = 2

/** `acceptRecord` stores the job and its first run in one transaction. */
type WriteKind = 'accept' | 'acceptRecord' | 'record' | 'done'

interface IWrite {
  readonly sender: OwnerName
  /** The revision that the lane's record must have for the write to take effect. */
  readonly expectedRevision: number
  readonly kind: WriteKind
  readonly run: number
  readonly host: number
}

interface IOrder {
  readonly sender: OwnerName
  readonly host: number
  readonly run: number
}

interface IHost {
  fence: number
  /** The highest run that the host has started. */
  highestRun: number
  task: 'none' | 'running' | 'ended' | 'forgotten'
  isCutOff: boolean
  /** Whether the host was cut off for longer than any lease. */
  hasLapsed: boolean
}

interface IOwner {
  isAlive: boolean
  isLoaded: boolean
  /** For each host, whether the owner has read the host's list under its own fence. */
  hasListedHost: boolean[]
  knowsJob: boolean
  run: number
  host: number
  phase: 'idle' | 'recovering' | 'recording' | 'recorded' | 'ordered' | 'ended' | 'done'
  laneRevision: number
  /** The transaction in flight; there is one at a time. */
  pending: IWrite | null
}

export interface ICellState {
  record: OwnerName
  /** The revision of the lane's record. Every transaction of the owner passes through the lane and increments it. */
  laneRevision: number
  /** The writer of the lane's record and the revision that it expected. */
  lastLaneWrite: string
  isAccepted: boolean
  progress: { run: number, host: number, isDone: boolean }
  caller: 'none' | 'waiting' | 'accepted' | 'refused'
  writes: IWrite[]
  orders: IOrder[]
  hosts: IHost[]
  owners: Record<OwnerName, IOwner>
  hasStarted: boolean
  /** Whether the host was told to forget that the task ended. */
  isEndForgotten: boolean
  /** Whether the task was started after the host was told to forget its end. */
  hasStartedAgain: boolean
}

const FENCE_BY_OWNER: Readonly<Record<OwnerName, number>> = { a: 1, b: 2 }

function newOwner (name: OwnerName): IOwner {
  const isFirst = name === 'a'
  return {
    isAlive: isFirst, isLoaded: isFirst, hasListedHost: [isFirst, isFirst], knowsJob: false, run: 0, host: -1, phase: 'idle', laneRevision: 0, pending: null
  }
}

function createState (): ICellState {
  const host = (): IHost => ({ fence: 1, highestRun: 0, task: 'none', isCutOff: false, hasLapsed: false })
  return {
    record: 'a',
    laneRevision: 0,
    lastLaneWrite: '',
    isAccepted: false,
    progress: { run: 0, host: -1, isDone: false },
    caller: 'none',
    writes: [],
    orders: [],
    hosts: [host(), host()],
    owners: { a: newOwner('a'), b: newOwner('b') },
    hasStarted: false,
    isEndForgotten: false,
    hasStartedAgain: false
  }
}

function hostOf (state: ICellState, hostNumber: number): IHost {
  const host = state.hosts[hostNumber]
  if (host === undefined) throw new Error(`no host ${hostNumber}`)
  return host
}

function sendWrite (state: ICellState, name: OwnerName, kind: WriteKind): void {
  const owner = state.owners[name]
  owner.pending = { sender: name, expectedRevision: owner.laneRevision, kind, run: owner.run, host: owner.host }
  state.writes.push(owner.pending)
}

/** The store executes a write if the write's conditions hold. */
function executeWrite (state: ICellState, index: number, isAnswered: boolean, mutant: string | undefined): void {
  const [copy] = state.writes.splice(index, 1)
  if (copy === undefined) return
  const owner = state.owners[copy.sender]
  const writeId = `${copy.sender}${copy.expectedRevision}`
  const isRecordOwner = state.record === copy.sender
  const isAlreadyDone = state.lastLaneWrite === writeId
  if (isRecordOwner && (state.laneRevision === copy.expectedRevision || (mutant === 'no-lane-record' && !isAlreadyDone))) {
    applyWrite(state, copy)
    state.laneRevision = Math.max(state.laneRevision, copy.expectedRevision + 1)
    state.lastLaneWrite = writeId
  } else if (!isAlreadyDone || !isRecordOwner) {
    if (isAnswered) owner.isAlive = owner.isAlive && isRecordOwner
    return
  }
  if (isAnswered && owner.isAlive && owner.pending?.expectedRevision === copy.expectedRevision) applyWriteAnswer(state, copy.sender)
}

function applyWrite (state: ICellState, { kind, run, host }: IWrite): void {
  if (kind === 'accept' || kind === 'acceptRecord') state.isAccepted = true
  if (kind !== 'accept') state.progress = { run, host, isDone: kind === 'done' }
}

function applyWriteAnswer (state: ICellState, name: OwnerName): void {
  const owner = state.owners[name]
  const kind = owner.pending?.kind
  owner.pending = null
  owner.laneRevision += 1
  if (kind === 'accept' || kind === 'acceptRecord') {
    owner.knowsJob = true
    if (state.caller === 'waiting') state.caller = 'accepted'
  }
  if ((kind === 'record' || kind === 'acceptRecord') && owner.phase === 'recording') owner.phase = 'recorded'
  if (kind === 'done') owner.phase = 'done'
}

/** Owner `b` reads the stored state. From then on, no write of the previous owner takes effect. */
function loadState (state: ICellState): void {
  const { b } = state.owners
  b.isLoaded = true
  b.laneRevision = state.laneRevision
  b.knowsJob = state.isAccepted
  b.run = state.progress.run
  b.host = state.progress.host
  if (state.progress.isDone) b.phase = 'done'
  else if (state.progress.run > 0) b.phase = 'recovering'
}

/** The host accepts the owner's fence and lists its running and ended tasks. */
function fenceAndList (state: ICellState, name: OwnerName, hostNumber: number): void {
  const owner = state.owners[name]
  const host = hostOf(state, hostNumber)
  if (host.fence > FENCE_BY_OWNER[name]) {
    owner.isAlive = false
    return
  }
  host.fence = FENCE_BY_OWNER[name]
  owner.hasListedHost[hostNumber] = true
  if (owner.host !== hostNumber || owner.phase === 'done') return
  if (host.task === 'ended' && host.highestRun === owner.run) owner.phase = 'ended'
  else if (owner.phase === 'recovering') owner.phase = host.task === 'running' && host.highestRun === owner.run ? 'ordered' : 'idle'
}

function placeTask (state: ICellState, name: OwnerName, hostNumber: number, kind: WriteKind, mutant: string | undefined): void {
  const owner = state.owners[name]
  owner.run += 1
  owner.host = hostNumber
  owner.phase = mutant === 'order-before-record' ? 'recorded' : 'recording'
  sendWrite(state, name, kind)
}

function deliverOrder (state: ICellState, index: number, mutant: string | undefined): void {
  const [order] = state.orders.splice(index, 1)
  if (order === undefined) return
  const host = hostOf(state, order.host)
  const isFenced = order.run <= host.highestRun || (host.fence > FENCE_BY_OWNER[order.sender] && mutant !== 'no-fence')
  if (isFenced) return
  host.highestRun = order.run
  host.task = 'running'
  state.hasStarted = true
  state.hasStartedAgain = state.isEndForgotten
}

/** Every lease on the host has ended, and every order in flight to it is past its deadline. */
function lapseLeases (state: ICellState, hostNumber: number, mutant: string | undefined): void {
  const host = hostOf(state, hostNumber)
  // By then the store has not confirmed the previous owner for longer than its lease, so that owner sends nothing more.
  if (state.record === 'b' && mutant !== 'order-unconfirmed') state.owners.a.isAlive = false
  if (host.task === 'running') host.task = 'none'
  host.isCutOff = false
  host.hasLapsed = true
  state.orders = state.orders.filter((order) => order.host !== hostNumber)
  for (const owner of Object.values(state.owners)) {
    if (owner.host === hostNumber && (owner.phase === 'recovering' || owner.phase === 'ordered')) owner.phase = 'idle'
  }
}

function mayPlace (state: ICellState, name: OwnerName, hostNumber: number, mutant: string | undefined): boolean {
  const owner = state.owners[name]
  if (!owner.knowsJob || owner.pending !== null || owner.run >= MAX_RUN_BY_OWNER[name] || (name === 'a' && hostNumber !== 0)) return false
  if (mutant === 'place-before-look' && owner.phase === 'recovering') return hostNumber !== owner.host
  return owner.phase === 'idle' && owner.hasListedHost[hostNumber] === true && !hostOf(state, hostNumber).isCutOff
}

/** A write without an answer is sent again. A write that records a run may be sent again while the first copy is still in flight. */
function maySendAgain (state: ICellState, name: OwnerName): boolean {
  const { pending } = state.owners[name]
  if (pending === null) return false
  const inFlight = state.writes.filter((copy) => copy.sender === name && copy.expectedRevision === pending.expectedRevision).length
  return inFlight < (pending.kind === 'record' || pending.kind === 'acceptRecord' ? MAX_COPIES : 1)
}

function eventsOf (state: ICellState, name: OwnerName, mutant: string | undefined): readonly ISpecEvent[] {
  const owner = state.owners[name]
  if (!owner.isAlive) return []
  const types: string[] = name === 'a' ? ['die'] : []
  if (maySendAgain(state, name)) types.push('send again')
  if (owner.phase === 'recorded' && (mutant === 'order-before-record' || owner.pending === null)) types.push('order')
  if (owner.phase === 'ended' && owner.pending === null) types.push('store end')
  for (const hostNumber of HOSTS) {
    const host = hostOf(state, hostNumber)
    if (owner.isLoaded && !host.isCutOff && (owner.host === hostNumber || !owner.hasListedHost[hostNumber])) types.push(`look ${hostNumber}`)
    if (mayPlace(state, name, hostNumber, mutant)) types.push(`place ${hostNumber}`)
    const isStored = owner.phase === 'done' || (mutant === 'forget-before-stored' && owner.phase === 'ended')
    if (isStored && owner.host === hostNumber && !host.isCutOff && host.task === 'ended' && host.highestRun === owner.run) types.push(`forget ${hostNumber}`)
  }
  return types.map((type) => ({ type, by: name }))
}

function callerEvents (state: ICellState, mutant: string | undefined): readonly ISpecEvent[] {
  const { a, b } = state.owners
  const types: string[] = []
  if (state.caller === 'none' && a.isAlive) types.push('submit', 'submit and place', 'refuse unsent')
  if (state.caller === 'none' && !a.isAlive && b.isLoaded) types.push('refuse unsent')
  if (state.caller !== 'waiting') return types.map((type) => ({ type }))
  if (mutant === 'answer-before-stored') types.push('answer early')
  if (mutant === 'refuse-in-doubt') types.push('refuse in doubt')
  // The caller asks the next owner with the same id; that owner knows which jobs are stored.
  if (b.isLoaded) types.push('ask again')
  return types.map((type) => ({ type }))
}

function platformEvents (state: ICellState): readonly ISpecEvent[] {
  const events: ISpecEvent[] = []
  if (state.record === 'a') events.push({ type: 'pass record' })
  if (state.record === 'b' && !state.owners.b.isLoaded) events.push({ type: 'load' })
  state.writes.forEach((_, index) => events.push({ type: `carry out ${index}` }, { type: `carry out unanswered ${index}` }))
  state.orders.forEach((order, index) => { if (!hostOf(state, order.host).isCutOff) events.push({ type: `arrive ${index}` }) })
  for (const hostNumber of HOSTS) {
    const host = hostOf(state, hostNumber)
    if (host.task === 'running') events.push({ type: `end ${hostNumber}` })
    if (hostNumber === 0 && !host.isCutOff && !host.hasLapsed) events.push({ type: `cut off ${hostNumber}` })
    if (host.isCutOff) events.push({ type: `lapse ${hostNumber}` })
  }
  return events
}

function applyOwner (state: ICellState, name: OwnerName, type: string, mutant: string | undefined): void {
  const owner = state.owners[name]
  const [verb, ...rest] = type.split(' ')
  const hostNumber = Number(rest.at(-1))
  switch (verb) {
    case 'die': owner.isAlive = false; return
    case 'order':
      state.orders.push({ sender: name, host: owner.host, run: owner.run })
      owner.phase = 'ordered'
      return
    case 'look': return fenceAndList(state, name, hostNumber)
    case 'place': return placeTask(state, name, hostNumber, 'record', mutant)
    case 'store': return sendWrite(state, name, 'done')
    case 'send':
      if (owner.pending !== null) state.writes.push(owner.pending)
      return
    case 'forget':
      hostOf(state, hostNumber).task = 'forgotten'
      state.isEndForgotten = true
  }
}

function applyCaller (state: ICellState, type: string, mutant: string | undefined): void {
  const { b } = state.owners
  switch (type) {
    case 'submit':
      state.caller = 'waiting'
      return sendWrite(state, 'a', 'accept')
    case 'submit and place':
      // Capacity is reserved and the run is recorded together with the job. No order is sent before both are stored.
      state.caller = 'waiting'
      return placeTask(state, 'a', 0, 'acceptRecord', mutant)
    case 'answer early': state.caller = 'accepted'; return
    case 'ask again': state.caller = b.knowsJob ? 'accepted' : 'refused'; return
    default: state.caller = 'refused'
  }
}

function applyPlatform (state: ICellState, type: string, mutant: string | undefined): boolean {
  const [verb] = type.split(' ')
  const index = Number(type.split(' ').at(-1))
  switch (verb) {
    case 'pass':
      state.record = 'b'
      state.owners.b.isAlive = true
      return true
    case 'load': loadState(state); return true
    case 'carry': executeWrite(state, index, !type.includes('unanswered'), mutant); return true
    case 'arrive': deliverOrder(state, index, mutant); return true
    case 'end': hostOf(state, index).task = 'ended'; return true
    case 'cut': hostOf(state, index).isCutOff = true; return true
    case 'lapse': lapseLeases(state, index, mutant); return true
    default: return false
  }
}

export const cellSpec: ISpec<ICellState> = {
  name: 'cell',
  properties: {
    onePlace: 'the task never runs on two hosts at once',
    notAgain: 'the task is not started after a host was told to forget that it ended',
    kept: 'a job whose caller was told "accepted" is in the store',
    truthful: 'a job whose caller was told "refused" never starts',
    progress: 'from every state the task can still end and its end can be stored, unless its caller was refused or the maximum number of runs is reached'
  },
  bounds: ['one task', 'two hosts, of which one is cut off once', 'one takeover', 'two runs', 'two copies of a run\'s record'],
  mutants: {
    'order-before-record': 'onePlace',
    'place-before-look': 'onePlace',
    'no-fence': 'onePlace',
    'order-unconfirmed': 'onePlace',
    'forget-before-stored': 'notAgain',
    'no-lane-record': 'notAgain',
    'answer-before-stored': 'kept',
    'refuse-in-doubt': 'truthful',
    'never-looks': 'progress'
  },
  initial: createState,
  events: (state, mutant) => [
    ...callerEvents(state, mutant),
    ...eventsOf(state, 'a', mutant),
    ...eventsOf(state, 'b', mutant).filter(({ type }) => mutant !== 'never-looks' || !type.startsWith('look')),
    ...platformEvents(state)
  ],
  apply: (state, event, mutant) => {
    if (event.by !== undefined) applyOwner(state, event.by as OwnerName, event.type, mutant)
    else if (!applyPlatform(state, event.type, mutant)) applyCaller(state, event.type, mutant)
  },
  violatedProperties: (state) => {
    const violated: string[] = []
    if (state.hosts.every(({ task }) => task === 'running')) violated.push('onePlace')
    if (state.hasStartedAgain) violated.push('notAgain')
    if (state.caller === 'accepted' && !state.isAccepted) violated.push('kept')
    if (state.caller === 'refused' && state.hasStarted) violated.push('truthful')
    return violated
  },
  isGoal: (state) => state.caller === 'refused' || state.progress.isDone || state.progress.run === MAX_RUN_BY_OWNER.b,
  // The job must be able to proceed without the death of the first owner.
  unfairEvents: ['die']
}
