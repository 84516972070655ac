/**
 * The lease of one task. Attempt 1 runs on a host under owner `a`, and owner `b` takes over. The owner of the shard may
 * start attempt 2 on another host once attempt 1 can no longer be running. Both owners run the real `TaskLeases`.
 *
 * Time is counted in ticks. The host's clock and the owners' clock drift apart, up to the drift that the code allows
 * for. A renewal carries the expiry on the host's clock and may arrive at any time. Its answer reaches the owner at
 * once or never.
 */

import { TaskLeases } from '../src/common/state/TaskLeases.js'

import type { ITaskLeasesSnapshot } from '../src/common/state/TaskLeases.js'
import type { ISpec, ISpecEvent } from './Model.js'

const OWNERS = ['a', 'b'] as const
const TASK = 't'
const ATTEMPT = 1
const LEASE_MS = 2
/** The host's clock may run at half the rate of the owners' clock. A fast host clock only ends leases earlier. */
const MAX_DRIFT = 0.5
const MAX_LOCAL_MS = 5
/** The number of commands of each owner: a start and a renewal from `a`, a renewal from `b`. */
const MAX_COMMANDS: Readonly<Record<'a' | 'b', number>> = { a: 2, b: 1 }

type OwnerName = typeof OWNERS[number]

interface IMessage {
  readonly sender: OwnerName
  readonly epoch: number
  readonly expiresHostMs: number
  readonly sentAtMs: number
  readonly isStart: boolean
}

interface IOwnerState {
  readonly epoch: number
  leases: ITaskLeasesSnapshot
  renewals: number
  /** The local time of the last answer, for the mutant that counts the lease from it. */
  answeredAtMs: number
  isFencedOff: boolean
}

export interface ILeaseState {
  hostMs: number
  localMs: number
  hostEpoch: number
  recordEpoch: number
  /** When the lease of attempt 1 on the host expires; null while the attempt is not running there. */
  leaseExpiryHostMs: number | null
  /** Whether attempt 1 has run on the host and has ended. It never starts again. */
  hasEnded: boolean
  owners: Record<OwnerName, IOwnerState>
  messages: IMessage[]
  /** Whether attempt 2 has started on another host. */
  hasNextStarted: boolean
  /** Whether attempt 2 may not start although the longest possible lease is over and the store has confirmed ownership. */
  isNextBlocked: boolean
}

const OPTIONS = { leaseMs: LEASE_MS, maxDrift: MAX_DRIFT }

function withLeases<T> (owner: IOwnerState, run: (leases: TaskLeases) => T, mutant?: string): T {
  const options = mutant === 'no-drift-margin' ? { leaseMs: LEASE_MS, maxDrift: 0 } : OPTIONS
  const leases = new TaskLeases(options, owner.leases)
  const result = run(leases)
  owner.leases = leases.snapshot()
  return result
}

function isAlive (state: ILeaseState): boolean {
  return state.leaseExpiryHostMs !== null && (state.hostMs < state.leaseExpiryHostMs)
}

function sendCommand (state: ILeaseState, name: OwnerName, mutant: string | undefined): void {
  const owner = state.owners[name]
  const expiresHostMs = withLeases(owner, (leases) => leases.expiryFor(state.localMs), mutant)
  if (expiresHostMs === undefined) return
  if (mutant !== 'count-answered-only') withLeases(owner, (leases) => { leases.recordSent(TASK, ATTEMPT, expiresHostMs) })
  owner.renewals += 1
  state.messages.push({ sender: name, epoch: owner.epoch, expiresHostMs, sentAtMs: state.localMs, isStart: owner.renewals === 1 && name === 'a' })
}

/** The host ends a lapsed lease by itself, refuses older epochs, and neither starts nor resumes an attempt whose lease has lapsed. */
function deliverCommand (state: ILeaseState, index: number, isAnswered: boolean, mutant: string | undefined): void {
  const message = state.messages.splice(index, 1)[0]
  if (message === undefined || message.epoch < state.hostEpoch) return
  const isInTime = message.expiresHostMs > state.hostMs || mutant === 'host-ignores-expiry'
  if (message.isStart && !state.hasEnded && state.leaseExpiryHostMs === null && isInTime) {
    state.leaseExpiryHostMs = mutant === 'host-ignores-expiry' ? state.hostMs + LEASE_MS : message.expiresHostMs
  }
  if (!message.isStart && isAlive(state)) state.leaseExpiryHostMs = Math.max(state.leaseExpiryHostMs ?? 0, message.expiresHostMs)
  if (isAnswered && !state.hasNextStarted) receiveAnswer(state, message, mutant)
}

function receiveAnswer (state: ILeaseState, message: IMessage, mutant: string | undefined): void {
  const owner = state.owners[message.sender]
  if (mutant === 'count-on-own-clock') owner.answeredAtMs = state.localMs
  const clock = { hostMs: state.hostMs, sentAtMs: message.sentAtMs, receivedAtMs: state.localMs }
  const reports = isAlive(state) || state.hasEnded ? [{ taskId: TASK, attempt: ATTEMPT, running: isAlive(state) }] : []
  withLeases(owner, (leases) => { leases.recordList(clock, reports) }, mutant)
  if (mutant === 'count-answered-only') withLeases(owner, (leases) => { leases.recordSent(TASK, ATTEMPT, state.hostMs + LEASE_MS) })
}

/** Starts attempt 2 on another host. From then on, only the messages in flight to the first host matter. */
function startNextAttempt (state: ILeaseState): void {
  state.hasNextStarted = true
  state.owners = { a: newOwner(1), b: newOwner(2) }
}

/** A round trip in one step. Once the host has the epoch, it accepts no command of an older one. */
function fenceHost (state: ILeaseState, name: OwnerName): void {
  const owner = state.owners[name]
  if (owner.epoch < state.hostEpoch) {
    owner.isFencedOff = true
    return
  }
  state.hostEpoch = owner.epoch
  const clock = { hostMs: state.hostMs, sentAtMs: state.localMs, receivedAtMs: state.localMs }
  const reports = isAlive(state) ? [{ taskId: TASK, attempt: ATTEMPT, running: true }] : []
  withLeases(owner, (leases) => { leases.recordFence(clock, reports) })
}

function needsConfirmation (state: ILeaseState, owner: IOwnerState, mutant: string | undefined): boolean {
  if (owner.isFencedOff || owner.renewals === 0) return false
  return withLeases(owner, (leases) => leases.decideNextAttempt(TASK, ATTEMPT, state.localMs), mutant) === 'unconfirmed'
}

/** Reads the shard's record to confirm that the owner still owns the shard. */
function confirmOwnership (state: ILeaseState, owner: IOwnerState, mutant: string | undefined): void {
  if (state.recordEpoch !== owner.epoch) {
    owner.isFencedOff = true
    return
  }
  withLeases(owner, (leases) => { leases.recordConfirmation(state.localMs) })
  const areAllEarly = owner.leases.attempts.every(([, attempt]) => attempt.expiresHostMs < MAX_LOCAL_MS * MAX_DRIFT)
  state.isNextBlocked = state.localMs === MAX_LOCAL_MS && areAllEarly && owner.renewals > 0 && !mayStartNextAttempt(state, 'a', mutant)
}

function mayStartNextAttempt (state: ILeaseState, name: OwnerName, mutant: string | undefined): boolean {
  const owner = state.owners[name]
  if (owner.isFencedOff) return false
  if (mutant === 'count-on-own-clock') return owner.renewals > 0 && state.localMs - owner.answeredAtMs > LEASE_MS
  if (mutant === 'place-unfenced' && name === 'b' && !owner.leases.fenced) return state.localMs > LEASE_MS
  // The first owner starts attempt 1 itself. Before that, there is no attempt to replace.
  if (name === 'a' && owner.renewals === 0) return false
  const answer = withLeases(owner, (leases) => leases.decideNextAttempt(TASK, ATTEMPT, state.localMs), mutant)
  if (mutant === 'only-the-host-says') return answer === 'ended'
  return answer === 'ended' || answer === 'lapsed' || (answer === 'unconfirmed' && mutant === 'no-confirmation')
}

function advanceClocks (state: ILeaseState, type: string): void {
  state.hostMs += 1
  state.localMs += type === 'host runs slow' ? 2 : 1
  if (state.leaseExpiryHostMs !== null && state.hostMs >= state.leaseExpiryHostMs) {
    state.leaseExpiryHostMs = null
    state.hasEnded = true
  }
}

function newOwner (epoch: number): IOwnerState {
  const leases = { clock: undefined, fenced: false, confirmedAtMs: 0, inheritedUntilHostMs: 0, attempts: [] }
  return { epoch, leases, renewals: 0, answeredAtMs: 0, isFencedOff: false }
}

function createState (): ILeaseState {
  const state: ILeaseState = {
    hostMs: 0,
    localMs: 0,
    hostEpoch: 0,
    recordEpoch: 1,
    leaseExpiryHostMs: null,
    hasEnded: false,
    owners: { a: newOwner(1), b: newOwner(2) },
    messages: [],
    hasNextStarted: false,
    isNextBlocked: false
  }
  fenceHost(state, 'a')
  return state
}

function eventsOf (state: ILeaseState, name: OwnerName, mutant: string | undefined): readonly ISpecEvent[] {
  const owner = state.owners[name]
  const types: string[] = []
  const knowsAttempt = name === 'a' || owner.leases.attempts.length > 0
  if (!state.hasNextStarted && knowsAttempt && owner.leases.fenced && owner.renewals < MAX_COMMANDS[name]) types.push('renew')
  if (name === 'b' && state.recordEpoch < owner.epoch) types.push('take')
  if (name === 'b' && state.recordEpoch === owner.epoch && !owner.leases.fenced && !state.hasNextStarted) types.push('fence')
  if (name === 'a' && !state.hasNextStarted && needsConfirmation(state, owner, mutant)) types.push('confirm')
  if (!state.hasNextStarted && mayStartNextAttempt(state, name, mutant)) types.push('start next')
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
  initial: createState,
  events: (state, mutant) => [
    ...OWNERS.flatMap((name) => eventsOf(state, name, mutant)),
    ...state.messages.map((_, index): ISpecEvent => ({ type: 'host gets', by: String(index) })),
    ...(state.hasNextStarted ? [] : state.messages.map((_, index): ISpecEvent => ({ type: 'host gets, answer lost', by: String(index) }))),
    ...(state.localMs < MAX_LOCAL_MS ? ['tick', 'host runs slow'].map((type) => ({ type })) : [])
  ],
  apply: (state, event, mutant) => {
    const name = event.by as OwnerName
    if (event.type === 'renew') sendCommand(state, name, mutant)
    else if (event.type === 'fence') fenceHost(state, name)
    else if (event.type === 'take') state.recordEpoch = state.owners[name].epoch
    else if (event.type === 'confirm') confirmOwnership(state, state.owners[name], mutant)
    else if (event.type === 'start next') startNextAttempt(state)
    else if (event.type.startsWith('host gets')) deliverCommand(state, Number(event.by), event.type === 'host gets', mutant)
    else advanceClocks(state, event.type)
  },
  violatedProperties: (state) => [
    ...(state.hasNextStarted && isAlive(state) ? ['onePlace'] : []),
    ...(state.isNextBlocked ? ['lapses'] : [])
  ],
  isGoal: () => true
}
