/**
 * The lease of one task: attempt 1 runs on a host under owner `a`; `b` takes over; whoever owns the shard may start
 * attempt 2 elsewhere once the first can't live any more. Both owners run the code's own `TaskLeases`.
 *
 * Time is counted in ticks. The host's clock and the owners' clock tick apart, up to the drift that the code allows
 * for. A renewal carries the expiry on the host's clock and arrives whenever it likes; its answer reaches the owner at
 * once or never.
 */

import { TaskLeases } from '../src/common/state/TaskLeases.js'

import type { ITaskLeasesSnapshot } from '../src/common/state/TaskLeases.js'
import type { ISpec, ISpecEvent } from './Model.js'

const OWNERS = ['a', 'b'] as const
const TASK = 't'
const ATTEMPT = 1
const LEASE_MS = 2
/** The host's clock may pass half the time of the owners'. A fast one only ends leases earlier. */
const MAX_DRIFT = 0.5
const MAX_LOCAL_MS = 5
/** Commands of each owner: a start and a renewal of the first, a renewal of the second. */
const MAX_COMMANDS: Readonly<Record<'a' | 'b', number>> = { a: 2, b: 1 }

type OwnerName = typeof OWNERS[number]

interface IMessage {
  readonly by: OwnerName
  readonly epoch: number
  readonly expiresHostMs: number
  readonly sentAtMs: number
  readonly start: boolean
}

interface IOwnerState {
  readonly epoch: number
  leases: ITaskLeasesSnapshot
  renewals: number
  /** Local time at which the last answer came; for the mutant that counts from it. */
  heardAtMs: number
  fencedOff: boolean
}

export interface ILeaseState {
  hostMs: number
  localMs: number
  hostEpoch: number
  recordEpoch: number
  /** The lease of attempt 1 on the host; null while it doesn't run there. */
  lease: number | null
  /** It has been there and is over: it never comes back. */
  over: boolean
  owners: Record<OwnerName, IOwnerState>
  messages: IMessage[]
  /** Attempt 2 has started elsewhere. */
  next: boolean
  /** The longest possible lease is over, the store has confirmed, and still attempt 2 may not start. */
  stuck: boolean
}

const OPTIONS = { leaseMs: LEASE_MS, maxDrift: MAX_DRIFT }

function act<T> (owner: IOwnerState, run: (leases: TaskLeases) => T, mutant?: string): T {
  const options = mutant === 'no-drift-margin' ? { leaseMs: LEASE_MS, maxDrift: 0 } : OPTIONS
  const leases = new TaskLeases(options, owner.leases)
  const result = run(leases)
  owner.leases = leases.snapshot()
  return result
}

function isAlive (state: ILeaseState): boolean {
  return state.lease !== null && (state.hostMs < state.lease)
}

function send (state: ILeaseState, name: OwnerName, mutant: string | undefined): void {
  const owner = state.owners[name]
  const expiresHostMs = act(owner, (leases) => leases.expiryFor(state.localMs), mutant)
  if (expiresHostMs === undefined) return
  if (mutant !== 'count-answered-only') act(owner, (leases) => { leases.recordSent(TASK, ATTEMPT, expiresHostMs) })
  owner.renewals += 1
  state.messages.push({ by: name, epoch: owner.epoch, expiresHostMs, sentAtMs: state.localMs, start: owner.renewals === 1 && name === 'a' })
}

/** The host ends a lapsed lease by itself, refuses older epochs, and neither starts nor revives what has lapsed. */
function deliver (state: ILeaseState, index: number, answered: boolean, mutant: string | undefined): void {
  const message = state.messages.splice(index, 1)[0]
  if (message === undefined || message.epoch < state.hostEpoch) return
  const mayRun = message.expiresHostMs > state.hostMs || mutant === 'host-ignores-expiry'
  if (message.start && !state.over && state.lease === null && mayRun) {
    state.lease = mutant === 'host-ignores-expiry' ? state.hostMs + LEASE_MS : message.expiresHostMs
  }
  if (!message.start && isAlive(state)) state.lease = Math.max(state.lease ?? 0, message.expiresHostMs)
  if (answered && !state.next) hear(state, message, mutant)
}

function hear (state: ILeaseState, message: IMessage, mutant: string | undefined): void {
  const owner = state.owners[message.by]
  if (mutant === 'count-on-own-clock') owner.heardAtMs = state.localMs
  const clock = { hostMs: state.hostMs, sentAtMs: message.sentAtMs, receivedAtMs: state.localMs }
  const reports = isAlive(state) || state.over ? [{ taskId: TASK, attempt: ATTEMPT, running: isAlive(state) }] : []
  act(owner, (leases) => { leases.recordList(clock, reports) }, mutant)
  if (mutant === 'count-answered-only') act(owner, (leases) => { leases.recordSent(TASK, ATTEMPT, state.hostMs + LEASE_MS) })
}

/** Attempt 2 starts elsewhere. From here on only what is on its way to the host matters. */
function startNext (state: ILeaseState): void {
  state.next = true
  state.owners = { a: newOwner(1), b: newOwner(2) }
}

/** A round trip in one step: once the host holds the epoch, no command of an older one is taken. */
function fence (state: ILeaseState, name: OwnerName): void {
  const owner = state.owners[name]
  if (owner.epoch < state.hostEpoch) {
    owner.fencedOff = true
    return
  }
  state.hostEpoch = owner.epoch
  const clock = { hostMs: state.hostMs, sentAtMs: state.localMs, receivedAtMs: state.localMs }
  const reports = isAlive(state) ? [{ taskId: TASK, attempt: ATTEMPT, running: true }] : []
  act(owner, (leases) => { leases.recordFence(clock, reports) })
}

function wantsToConfirm (state: ILeaseState, owner: IOwnerState, mutant: string | undefined): boolean {
  if (owner.fencedOff || owner.renewals === 0) return false
  return act(owner, (leases) => leases.decideNextAttempt(TASK, ATTEMPT, state.localMs), mutant) === 'unconfirmed'
}

/** Reads the shard's record. */
function confirm (state: ILeaseState, owner: IOwnerState, mutant: string | undefined): void {
  if (state.recordEpoch !== owner.epoch) {
    owner.fencedOff = true
    return
  }
  act(owner, (leases) => { leases.recordConfirmation(state.localMs) })
  const sentEarly = owner.leases.attempts.every(([, attempt]) => attempt.expiresHostMs < MAX_LOCAL_MS * MAX_DRIFT)
  state.stuck = state.localMs === MAX_LOCAL_MS && sentEarly && owner.renewals > 0 && !mayStartNext(state, 'a', mutant)
}

function mayStartNext (state: ILeaseState, name: OwnerName, mutant: string | undefined): boolean {
  const owner = state.owners[name]
  if (owner.fencedOff) return false
  if (mutant === 'count-on-own-clock') return owner.renewals > 0 && state.localMs - owner.heardAtMs > LEASE_MS
  if (mutant === 'place-unfenced' && name === 'b' && !owner.leases.fenced) return state.localMs > LEASE_MS
  // The first owner has started the attempt itself; before that there is nothing to follow.
  if (name === 'a' && owner.renewals === 0) return false
  const answer = act(owner, (leases) => leases.decideNextAttempt(TASK, ATTEMPT, state.localMs), mutant)
  if (mutant === 'only-the-host-says') return answer === 'ended'
  return answer === 'ended' || answer === 'lapsed' || (answer === 'unconfirmed' && mutant === 'no-confirmation')
}

function tick (state: ILeaseState, type: string): void {
  state.hostMs += 1
  state.localMs += type === 'host runs slow' ? 2 : 1
  if (state.lease !== null && state.hostMs >= state.lease) {
    state.lease = null
    state.over = true
  }
}

function newOwner (epoch: number): IOwnerState {
  const leases = { clock: undefined, fenced: false, confirmedAtMs: 0, inheritedUntilHostMs: 0, attempts: [] }
  return { epoch, leases, renewals: 0, heardAtMs: 0, fencedOff: false }
}

function start (): ILeaseState {
  const state: ILeaseState = {
    hostMs: 0,
    localMs: 0,
    hostEpoch: 0,
    recordEpoch: 1,
    lease: null,
    over: false,
    owners: { a: newOwner(1), b: newOwner(2) },
    messages: [],
    next: false,
    stuck: false
  }
  fence(state, 'a')
  return state
}

function eventsOf (state: ILeaseState, name: OwnerName, mutant: string | undefined): readonly ISpecEvent[] {
  const owner = state.owners[name]
  const types: string[] = []
  const knowsIt = name === 'a' || owner.leases.attempts.length > 0
  if (!state.next && knowsIt && owner.leases.fenced && owner.renewals < MAX_COMMANDS[name]) types.push('renew')
  if (name === 'b' && state.recordEpoch < owner.epoch) types.push('take')
  if (name === 'b' && state.recordEpoch === owner.epoch && !owner.leases.fenced && !state.next) types.push('fence')
  if (name === 'a' && !state.next && wantsToConfirm(state, owner, mutant)) types.push('confirm')
  if (!state.next && mayStartNext(state, name, mutant)) types.push('start next')
  return types.map((type) => ({ type, by: name }))
}

export const leaseSpec: ISpec<ILeaseState> = {
  name: 'lease',
  properties: {
    onePlace: 'attempt 2 never runs while attempt 1 is alive on its host',
    lapses: 'a lease of which nothing is heard is over for its owner, once its longest time has passed and the store confirms'
  },
  bounds: [
    '1 task, 1 host, 2 owners',
    `a lease of ${LEASE_MS} ticks, ${MAX_LOCAL_MS} ticks of time, the host clock runs at the rate of the owners or at half of it`,
    '2 commands of the first owner and 1 of the second, which arrive in any order', 'an answer comes at once or never'
  ],
  mutants: {
    'count-on-own-clock': 'onePlace',
    'count-answered-only': 'onePlace',
    'no-drift-margin': 'onePlace',
    'place-unfenced': 'onePlace',
    'host-ignores-expiry': 'onePlace',
    'no-confirmation': 'onePlace',
    'only-the-host-says': 'lapses'
  },
  initial: start,
  events: (state, mutant) => [
    ...OWNERS.flatMap((name) => eventsOf(state, name, mutant)),
    ...state.messages.map((_, index): ISpecEvent => ({ type: 'host gets', by: String(index) })),
    ...(state.next ? [] : state.messages.map((_, index): ISpecEvent => ({ type: 'host gets, answer lost', by: String(index) }))),
    ...(state.localMs < MAX_LOCAL_MS ? ['tick', 'host runs slow'].map((type) => ({ type })) : [])
  ],
  apply: (state, event, mutant) => {
    const name = event.by as OwnerName
    if (event.type === 'renew') send(state, name, mutant)
    else if (event.type === 'fence') fence(state, name)
    else if (event.type === 'take') state.recordEpoch = state.owners[name].epoch
    else if (event.type === 'confirm') confirm(state, state.owners[name], mutant)
    else if (event.type === 'start next') startNext(state)
    else if (event.type.startsWith('host gets')) deliver(state, Number(event.by), event.type === 'host gets', mutant)
    else tick(state, event.type)
  },
  broken: (state) => [
    ...(state.next && isAlive(state) ? ['onePlace'] : []),
    ...(state.stuck ? ['lapses'] : [])
  ],
  goal: () => true
}
