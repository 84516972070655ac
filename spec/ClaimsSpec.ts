/**
 * At-most-once execution: two gateways hand over two attempts of one non-idempotent request to two dispatchers, and the
 * id shard changes its owner. The log is the real `ISliceHead`, and the real `ClaimTable` decides on claims and blocks.
 *
 * An owner queues entries, commits them by compare-and-swap of the head, and answers after the commit. The store may be
 * down or may lose the answer. An owner may be delayed at any step, which models a paused process. A dispatcher may stop
 * waiting at any time. A gateway may lose its link, and then asks the owner to block the attempt.
 */

import { ClaimTable } from '../src/common/state/ClaimTable.js'

import type { ISliceHead, SliceEntry } from '../src/common/state/Types.js'
import type { ISpec, ISpecEvent } from './Model.js'

const KEY = 'k'
const ATTEMPTS = ['1', '2'] as const
const OWNERS = ['o1', 'o2'] as const
const MAX_FAULTS = 1

type Attempt = typeof ATTEMPTS[number]
type OwnerName = typeof OWNERS[number]
type Outcome = 'done' | 'notRun' | 'unknown'

interface IWaiter {
  readonly kind: 'claim' | 'block'
  readonly attempt: Attempt
}

interface IOwnerState {
  /** Whether the owner holds the shard, as far as it knows. */
  isOpen: boolean
  epoch: number
  modRevision: number
  /** The log as the owner knows it, without entries that are queued or being committed. */
  knownEntries: readonly SliceEntry[]
  queuedEntries: SliceEntry[]
  /** Entries of a commit that was not answered; a read of the head shows whether they are stored. */
  uncertainEntries: SliceEntry[] | null
  waiters: IWaiter[]
  /** Whether the waiters were answered before the outcome of the commit was known. */
  hasGivenUp: boolean
}

interface IAttemptState {
  /** `denied`: the owner refused the claim; `left`: the dispatcher stopped waiting by itself, and releases a claim that it may hold. */
  dispatcher: 'waiting' | 'asking' | 'dispatched' | 'denied' | 'left'
  /** Whether a grant is on its way to the dispatcher. */
  isGranted: boolean
  /** The last owner that was asked for the claim. The request is sent to one owner, and once more to the next owner. */
  claimAskedOf: OwnerName | null
  /** The last owner that was asked for the block, likewise. */
  blockAskedOf: OwnerName | null
  hasRun: boolean
  toldOutcome: Outcome | null
  /** Whether the gateway has lost its link and therefore asks for a block. */
  isLinkLost: boolean
}

export interface IClaimsState {
  head: Pick<ISliceHead, 'epoch' | 'entries'> & { modRevision: number }
  owners: Record<OwnerName, IOwnerState>
  attempts: Record<Attempt, IAttemptState>
  runs: number
  faults: number
  /** Whether the retention has passed, and with it the age up to which an attempt may claim. */
  isRetentionOver: boolean
}

function newOwner (epoch: number): IOwnerState {
  return { isOpen: false, epoch, modRevision: 0, knownEntries: [], queuedEntries: [], uncertainEntries: null, waiters: [], hasGivenUp: false }
}

function newAttempt (): IAttemptState {
  return { dispatcher: 'waiting', isGranted: false, claimAskedOf: null, blockAskedOf: null, hasRun: false, toldOutcome: null, isLinkLost: false }
}

function claimTableOf (owner: IOwnerState): ClaimTable {
  const claims = new ClaimTable()
  for (const entry of [...owner.knownEntries, ...(owner.uncertainEntries ?? []), ...owner.queuedEntries]) claims.apply(entry)
  return claims
}

function holderOf (attempt: Attempt): string {
  return `d${attempt}`
}

function queueEntry (owner: IOwnerState, entry: SliceEntry, mutant: string | undefined): void {
  if (mutant === 'block-in-memory' && entry.type === 'block') owner.knownEntries = [...owner.knownEntries, entry]
  else owner.queuedEntries.push(entry)
}

function tellDispatcher (attempt: IAttemptState, granted: boolean): void {
  if (attempt.dispatcher !== 'asking') return
  if (granted) attempt.isGranted = true
  else stopDispatcher(attempt, 'denied')
}

/** Answers a block or a claim once all earlier entries are durable. */
function answerWaiter (state: IClaimsState, owner: IOwnerState, waiter: IWaiter): void {
  const attempt = state.attempts[waiter.attempt]
  const claims = claimTableOf(owner)
  const isHolder = claims.holds(KEY, waiter.attempt, holderOf(waiter.attempt))
  if (waiter.kind === 'claim') tellDispatcher(attempt, isHolder)
  else attempt.toldOutcome ??= isHolder ? 'unknown' : 'notRun'
}

function answerUnavailable (state: IClaimsState, owner: IOwnerState): void {
  for (const { kind, attempt } of owner.waiters) {
    if (kind === 'claim') tellDispatcher(state.attempts[attempt], false)
    else state.attempts[attempt].toldOutcome ??= 'unknown'
  }
  owner.waiters = []
}

function askOwner (state: IClaimsState, owner: IOwnerState, kind: IWaiter['kind'], attempt: Attempt, mutant: string | undefined): void {
  const claims = claimTableOf(owner)
  const decision = kind === 'claim'
    ? claims.decideClaim(KEY, attempt, holderOf(attempt)).decision
    : claims.decideBlock(KEY, attempt).decision
  if (state.isRetentionOver && mutant !== 'no-age-limit' && (kind === 'claim' || mutant !== 'block-after-retention')) {
    refuseOld(state.attempts[attempt], kind)
    return
  }
  if (decision === 'append' && kind === 'claim') queueEntry(owner, { type: 'claim', key: KEY, attemptId: attempt, holder: holderOf(attempt), at: 0 }, mutant)
  if (decision === 'append' && kind === 'block') queueEntry(owner, { type: 'block', key: KEY, attemptId: attempt, at: 0 }, mutant)
  owner.waiters.push({ kind, attempt })
  if (owner.queuedEntries.length === 0 || mutant === 'answer-before-durable') answerWaiters(state, owner)
}

/** The log no longer covers an attempt this old: the attempt may not claim, and it may have run. */
function refuseOld (attempt: IAttemptState, kind: IWaiter['kind']): void {
  if (kind === 'claim') tellDispatcher(attempt, false)
  else attempt.toldOutcome ??= 'unknown'
}

function answerWaiters (state: IClaimsState, owner: IOwnerState): void {
  for (const waiter of owner.waiters) answerWaiter(state, owner, waiter)
  owner.waiters = []
}

function swapHead (state: IClaimsState, owner: IOwnerState, entries: readonly SliceEntry[], mutant: string | undefined): boolean {
  const isBlind = mutant === 'blind-commit'
  if (owner.modRevision !== state.head.modRevision && !isBlind) return false
  const before = isBlind ? state.head.entries : owner.knownEntries
  state.head = { epoch: owner.epoch, entries: [...before, ...entries], modRevision: state.head.modRevision + 1 }
  return true
}

/** The entries are stored. Claims whose waiters were already answered are released, because those waiters got no grant. */
function applyCommitted (state: IClaimsState, owner: IOwnerState, entries: readonly SliceEntry[], mutant: string | undefined): void {
  owner.knownEntries = [...owner.knownEntries, ...entries]
  owner.modRevision = state.head.modRevision
  if (!owner.hasGivenUp) {
    answerWaiters(state, owner)
    return
  }
  owner.hasGivenUp = false
  const claims = claimTableOf(owner)
  for (const entry of entries) {
    if (entry.type !== 'claim' || !claims.holds(KEY, entry.attemptId, entry.holder) || mutant === 'no-release') continue
    owner.queuedEntries.push({ type: 'release', key: KEY, attemptId: entry.attemptId, at: 0 })
  }
}

function loseShard (state: IClaimsState, owner: IOwnerState): void {
  answerUnavailable(state, owner)
  Object.assign(owner, newOwner(owner.epoch))
}

function commitQueued (state: IClaimsState, owner: IOwnerState, fault: string | undefined, mutant: string | undefined): void {
  const entries = owner.queuedEntries
  if (fault !== undefined) state.faults += 1
  if (fault === 'down') {
    owner.queuedEntries = []
    answerUnavailable(state, owner)
    return
  }
  const isTakenAsStored = fault === 'requestLost' || swapHead(state, owner, entries, mutant)
  owner.queuedEntries = []
  if (fault !== undefined && mutant !== 'ambiguous-as-success') owner.uncertainEntries = entries
  else if (isTakenAsStored) applyCommitted(state, owner, entries, mutant)
  else loseShard(state, owner)
}

/** Reads the head: it contains the uncertain entries, or it is unchanged, or another owner has written it. */
function readBack (state: IClaimsState, owner: IOwnerState, mutant: string | undefined): void {
  const entries = owner.uncertainEntries ?? []
  owner.uncertainEntries = null
  const isStored = state.head.epoch === owner.epoch && state.head.modRevision === owner.modRevision + 1
  const isUnchanged = state.head.modRevision === owner.modRevision
  if (isStored || (isUnchanged && swapHead(state, owner, entries, mutant))) applyCommitted(state, owner, entries, mutant)
  else loseShard(state, owner)
}

function takeOver (state: IClaimsState, owner: IOwnerState, mutant: string | undefined): void {
  owner.isOpen = true
  owner.knownEntries = state.head.entries
  if (mutant !== 'blind-commit') {
    state.head = { ...state.head, epoch: owner.epoch, modRevision: state.head.modRevision + 1 }
  }
  owner.modRevision = state.head.modRevision
}

function stopDispatcher (attempt: IAttemptState, how: 'denied' | 'left'): void {
  attempt.dispatcher = how
  attempt.isGranted = false
  if (!attempt.isLinkLost) attempt.toldOutcome ??= 'notRun'
}

/** The holder reports that it never dispatched. Without this report, the id would stay claimed. */
function queueRelease (state: IClaimsState, owner: IOwnerState, name: Attempt): void {
  if (!claimTableOf(owner).holds(KEY, name, holderOf(name))) return
  owner.queuedEntries.push({ type: 'release', key: KEY, attemptId: name, at: 0 })
}

function dispatchRequest (state: IClaimsState, attempt: IAttemptState): void {
  attempt.dispatcher = 'dispatched'
  attempt.isGranted = false
  attempt.hasRun = true
  state.runs += 1
  if (!attempt.isLinkLost) attempt.toldOutcome ??= 'done'
}

function ownerEvents (state: IClaimsState, name: OwnerName): readonly string[] {
  const owner = state.owners[name]
  const types: string[] = []
  if (!owner.isOpen && state.head.epoch < owner.epoch) types.push('takeOver')
  if (!owner.isOpen) return types
  if (owner.uncertainEntries !== null) return owner.hasGivenUp ? ['readBack'] : ['readBack', 'giveUpWaiting']
  if (owner.queuedEntries.length > 0) types.push('commit')
  if (owner.queuedEntries.length > 0 && name === 'o1' && state.faults < MAX_FAULTS) types.push('commit:down', 'commit:answerLost', 'commit:requestLost')
  return types
}

function attemptEvents (state: IClaimsState, name: Attempt, mutant: string | undefined): readonly string[] {
  const attempt = state.attempts[name]
  const types: string[] = []
  const { dispatcher } = attempt
  for (const ownerName of OWNERS) {
    const owner = state.owners[ownerName]
    if (!owner.isOpen || owner.uncertainEntries !== null) continue
    const mayAsk = (askedAt: OwnerName | null): boolean => askedAt === null || askedAt < ownerName
    if ((dispatcher === 'waiting' || dispatcher === 'asking') && mayAsk(attempt.claimAskedOf)) types.push(`claim@${ownerName}`)
    if (attempt.isLinkLost && attempt.toldOutcome === null && mayAsk(attempt.blockAskedOf)) types.push(`block@${ownerName}`)
    if ((dispatcher === 'left' || dispatcher === 'denied') && mutant !== 'no-release' && claimTableOf(owner).holds(KEY, name, holderOf(name))) types.push(`release@${ownerName}`)
  }
  if (attempt.isGranted && dispatcher === 'asking') types.push('dispatch')
  if (name === '1' && (dispatcher === 'waiting' || dispatcher === 'asking')) types.push('stopWaiting')
  if (name === '1' && !attempt.isLinkLost && attempt.toldOutcome === null) types.push('loseLink')
  if (attempt.isLinkLost && attempt.toldOutcome === null) types.push('noBlock')
  return types
}

function applyOwner (state: IClaimsState, owner: IOwnerState, event: string, mutant: string | undefined): void {
  const [type, fault] = event.split(':')
  if (type === 'takeOver') takeOver(state, owner, mutant)
  if (type === 'commit') commitQueued(state, owner, fault, mutant)
  if (type === 'readBack') readBack(state, owner, mutant)
  if (type === 'giveUpWaiting') {
    answerUnavailable(state, owner)
    owner.hasGivenUp = true
  }
}

function applyAttempt (state: IClaimsState, name: Attempt, event: string, mutant: string | undefined): void {
  const attempt = state.attempts[name]
  const [type, ownerName] = event.split('@')
  const owner = state.owners[ownerName as OwnerName]
  if (type === 'claim') {
    attempt.dispatcher = 'asking'
    attempt.claimAskedOf = ownerName as OwnerName
    askOwner(state, owner, 'claim', name, mutant)
  }
  if (type === 'block') {
    attempt.blockAskedOf = ownerName as OwnerName
    askOwner(state, owner, 'block', name, mutant)
  }
  if (type === 'noBlock') attempt.toldOutcome = 'unknown'
  if (type === 'release') queueRelease(state, owner, name)
  if (type === 'dispatch') dispatchRequest(state, attempt)
  if (type === 'stopWaiting') stopDispatcher(attempt, 'left')
  if (type === 'loseLink') attempt.isLinkLost = true
}

/** The retention passes. Every attempt has by then passed the age up to which it may claim. */
function passRetention (state: IClaimsState): void {
  state.isRetentionOver = true
  state.head = { ...state.head, entries: [] }
  for (const name of OWNERS) state.owners[name].knownEntries = []
}

function isUnclaimed (state: IClaimsState): boolean {
  const claims = new ClaimTable()
  for (const entry of state.head.entries) claims.apply(entry)
  return ATTEMPTS.every((name) => !claims.holds(KEY, name, holderOf(name)))
}

export const claimsSpec: ISpec<IClaimsState> = {
  name: 'claims',
  properties: {
    atMostOnce: 'the request runs at most once, whatever the number of attempts',
    truthful: 'an attempt of which a gateway has said "not run" has not run and never will',
    progress: 'from every state each gateway can still learn an outcome, and an id that never ran can become free again before the retention passes'
  },
  bounds: [
    '1 request id, 2 attempts over 2 gateways and 2 dispatchers, only the first stops waiting by itself or loses its link', '2 owners of the id shard, one after the other',
    `${MAX_FAULTS} outage or lost answer or lost request at a commit of the first owner`, 'the retention passes at most once', 'each asks an owner once'
  ],
  mutants: {
    'answer-before-durable': 'atMostOnce',
    'ambiguous-as-success': 'atMostOnce',
    'blind-commit': 'atMostOnce',
    'no-age-limit': 'atMostOnce',
    'block-in-memory': 'truthful',
    'block-after-retention': 'truthful',
    'no-release': 'progress'
  },
  initial: () => ({
    head: { epoch: 1, entries: [], modRevision: 1 },
    owners: { o1: { ...newOwner(1), isOpen: true, modRevision: 1 }, o2: newOwner(2) },
    attempts: { 1: newAttempt(), 2: newAttempt() },
    runs: 0,
    faults: 0,
    isRetentionOver: false
  }),
  events: (state, mutant) => {
    const isSettled = OWNERS.every((name) => state.owners[name].queuedEntries.length === 0 && state.owners[name].uncertainEntries === null)
    return [
      ...OWNERS.flatMap((name) => ownerEvents(state, name).map((type): ISpecEvent => ({ type, by: name }))),
      ...ATTEMPTS.flatMap((name) => attemptEvents(state, name, mutant).map((type): ISpecEvent => ({ type, by: name }))),
      ...(!state.isRetentionOver && isSettled ? [{ type: 'expire' }] : [])
    ]
  },
  apply: (state, event, mutant) => {
    if (event.by === undefined) passRetention(state)
    else if (event.by in state.owners) applyOwner(state, state.owners[event.by as OwnerName], event.type, mutant)
    else applyAttempt(state, event.by as Attempt, event.type, mutant)
  },
  violatedProperties: (state) => [
    ...(state.runs > 1 ? ['atMostOnce'] : []),
    ...(ATTEMPTS.some((name) => state.attempts[name].hasRun && state.attempts[name].toldOutcome === 'notRun') ? ['truthful'] : [])
  ],
  unfairEvents: ['expire'],
  isGoal: (state) => ATTEMPTS.every((name) => state.attempts[name].toldOutcome !== null) && (state.runs > 0 || isUnclaimed(state))
}
