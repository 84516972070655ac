/**
 * At most once: two attempts of one non-idempotent request, handed over by two gateways to two dispatchers, and an
 * id shard whose owner changes. The log is the code's `ISliceHead`; who gets what is decided by the code's own
 * `ClaimTable`.
 *
 * An owner queues entries, commits them by compare-and-swap of the head, and answers then. The store may be down or
 * lose the answer; an owner may be delayed at any step, which is how a paused one shows. A dispatcher stops waiting
 * at any time; a gateway loses its link and has the attempt blocked.
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
type Told = 'done' | 'notRun' | 'unknown'

interface IWaiter {
  readonly kind: 'claim' | 'block'
  readonly attempt: Attempt
}

interface IOwnerState {
  /** Holds the shard, as far as it knows. */
  open: boolean
  epoch: number
  modRevision: number
  /** The log as it knows it, without what is queued or under way. */
  known: readonly SliceEntry[]
  queued: SliceEntry[]
  /** Entries whose commit's answer has not come; a read of the head settles it. */
  doubt: SliceEntry[] | null
  waiters: IWaiter[]
  /** Those who waited were let go. */
  gaveUp: boolean
}

interface IAttemptState {
  /** `denied`: it was told so; `left`: it stopped waiting by itself, and releases what it may hold. */
  dispatcher: 'waiting' | 'asking' | 'dispatched' | 'denied' | 'left'
  /** A grant on its way to the dispatcher. */
  granted: boolean
  /** The owner asked last for the claim and for the block: each is asked of one owner, and once more of the next. */
  claimAt: OwnerName | null
  blockAt: OwnerName | null
  ran: boolean
  told: Told | null
  /** The gateway asks for a block, because its link is lost. */
  linkLost: boolean
}

export interface IClaimsState {
  head: Pick<ISliceHead, 'epoch' | 'entries'> & { modRevision: number }
  owners: Record<OwnerName, IOwnerState>
  attempts: Record<Attempt, IAttemptState>
  runs: number
  faults: number
  /** The retention has passed, and with it the age up to which the attempts may claim. */
  old: boolean
}

function newOwner (epoch: number): IOwnerState {
  return { open: false, epoch, modRevision: 0, known: [], queued: [], doubt: null, waiters: [], gaveUp: false }
}

function newAttempt (): IAttemptState {
  return { dispatcher: 'waiting', granted: false, claimAt: null, blockAt: null, ran: false, told: null, linkLost: false }
}

function table (owner: IOwnerState): ClaimTable {
  const claims = new ClaimTable()
  for (const entry of [...owner.known, ...(owner.doubt ?? []), ...owner.queued]) claims.apply(entry)
  return claims
}

function holderOf (attempt: Attempt): string {
  return `d${attempt}`
}

function queue (owner: IOwnerState, entry: SliceEntry, mutant: string | undefined): void {
  if (mutant === 'block-in-memory' && entry.type === 'block') owner.known = [...owner.known, entry]
  else owner.queued.push(entry)
}

function tellDispatcher (attempt: IAttemptState, granted: boolean): void {
  if (attempt.dispatcher !== 'asking') return
  if (granted) attempt.granted = true
  else stop(attempt, 'denied')
}

/** The answer to a block or a claim once everything before it is durable. */
function answer (state: IClaimsState, owner: IOwnerState, waiter: IWaiter): void {
  const attempt = state.attempts[waiter.attempt]
  const claims = table(owner)
  const holds = claims.holds(KEY, waiter.attempt, holderOf(waiter.attempt))
  if (waiter.kind === 'claim') tellDispatcher(attempt, holds)
  else attempt.told ??= holds ? 'unknown' : 'notRun'
}

function unavailable (state: IClaimsState, owner: IOwnerState): void {
  for (const { kind, attempt } of owner.waiters) {
    if (kind === 'claim') tellDispatcher(state.attempts[attempt], false)
    else state.attempts[attempt].told ??= 'unknown'
  }
  owner.waiters = []
}

function ask (state: IClaimsState, owner: IOwnerState, kind: IWaiter['kind'], attempt: Attempt, mutant: string | undefined): void {
  const claims = table(owner)
  const decided = kind === 'claim'
    ? claims.decideClaim(KEY, attempt, holderOf(attempt)).decision
    : claims.decideBlock(KEY, attempt).decision
  if (state.old && mutant !== 'no-age-limit' && (kind === 'claim' || mutant !== 'block-after-retention')) {
    refuseOld(state.attempts[attempt], kind)
    return
  }
  if (decided === 'append' && kind === 'claim') queue(owner, { type: 'claim', key: KEY, attemptId: attempt, holder: holderOf(attempt), at: 0 }, mutant)
  if (decided === 'append' && kind === 'block') queue(owner, { type: 'block', key: KEY, attemptId: attempt, at: 0 }, mutant)
  owner.waiters.push({ kind, attempt })
  if (owner.queued.length === 0 || mutant === 'answer-before-durable') answerAll(state, owner)
}

/** Nothing is known of an attempt this old: it may not claim, and it may have run. */
function refuseOld (attempt: IAttemptState, kind: IWaiter['kind']): void {
  if (kind === 'claim') tellDispatcher(attempt, false)
  else attempt.told ??= 'unknown'
}

function answerAll (state: IClaimsState, owner: IOwnerState): void {
  for (const waiter of owner.waiters) answer(state, owner, waiter)
  owner.waiters = []
}

function swap (state: IClaimsState, owner: IOwnerState, entries: readonly SliceEntry[], mutant: string | undefined): boolean {
  const blind = mutant === 'blind-commit'
  if (owner.modRevision !== state.head.modRevision && !blind) return false
  const before = blind ? state.head.entries : owner.known
  state.head = { epoch: owner.epoch, entries: [...before, ...entries], modRevision: state.head.modRevision + 1 }
  return true
}

/** The entries stand in the store. Claims that were let go before are released: nobody was granted them. */
function committed (state: IClaimsState, owner: IOwnerState, entries: readonly SliceEntry[], mutant: string | undefined): void {
  owner.known = [...owner.known, ...entries]
  owner.modRevision = state.head.modRevision
  if (!owner.gaveUp) {
    answerAll(state, owner)
    return
  }
  owner.gaveUp = false
  const claims = table(owner)
  for (const entry of entries) {
    if (entry.type !== 'claim' || !claims.holds(KEY, entry.attemptId, entry.holder) || mutant === 'no-release') continue
    owner.queued.push({ type: 'release', key: KEY, attemptId: entry.attemptId, at: 0 })
  }
}

function lose (state: IClaimsState, owner: IOwnerState): void {
  unavailable(state, owner)
  Object.assign(owner, newOwner(owner.epoch))
}

function commit (state: IClaimsState, owner: IOwnerState, fault: string | undefined, mutant: string | undefined): void {
  const entries = owner.queued
  if (fault !== undefined) state.faults += 1
  if (fault === 'down') {
    owner.queued = []
    unavailable(state, owner)
    return
  }
  const done = fault === 'requestLost' || swap(state, owner, entries, mutant)
  owner.queued = []
  if (fault !== undefined && mutant !== 'ambiguous-as-success') owner.doubt = entries
  else if (done) committed(state, owner, entries, mutant)
  else lose(state, owner)
}

/** What the head holds settles the doubt: our entries stand in it, or it is as before, or another owner wrote it. */
function readBack (state: IClaimsState, owner: IOwnerState, mutant: string | undefined): void {
  const entries = owner.doubt ?? []
  owner.doubt = null
  const landed = state.head.epoch === owner.epoch && state.head.modRevision === owner.modRevision + 1
  const unchanged = state.head.modRevision === owner.modRevision
  if (landed || (unchanged && swap(state, owner, entries, mutant))) committed(state, owner, entries, mutant)
  else lose(state, owner)
}

function takeOver (state: IClaimsState, owner: IOwnerState, mutant: string | undefined): void {
  owner.open = true
  owner.known = state.head.entries
  if (mutant !== 'blind-commit') {
    state.head = { ...state.head, epoch: owner.epoch, modRevision: state.head.modRevision + 1 }
  }
  owner.modRevision = state.head.modRevision
}

function stop (attempt: IAttemptState, how: 'denied' | 'left'): void {
  attempt.dispatcher = how
  attempt.granted = false
  if (!attempt.linkLost) attempt.told ??= 'notRun'
}

/** The holder never dispatched and says so; without that, the id would stay claimed. */
function release (state: IClaimsState, owner: IOwnerState, name: Attempt): void {
  if (!table(owner).holds(KEY, name, holderOf(name))) return
  owner.queued.push({ type: 'release', key: KEY, attemptId: name, at: 0 })
}

function dispatch (state: IClaimsState, attempt: IAttemptState): void {
  attempt.dispatcher = 'dispatched'
  attempt.granted = false
  attempt.ran = true
  state.runs += 1
  if (!attempt.linkLost) attempt.told ??= 'done'
}

function ownerEvents (state: IClaimsState, name: OwnerName): readonly string[] {
  const owner = state.owners[name]
  const types: string[] = []
  if (!owner.open && state.head.epoch < owner.epoch) types.push('takeOver')
  if (!owner.open) return types
  if (owner.doubt !== null) return owner.gaveUp ? ['readBack'] : ['readBack', 'giveUpWaiting']
  if (owner.queued.length > 0) types.push('commit')
  if (owner.queued.length > 0 && name === 'o1' && state.faults < MAX_FAULTS) types.push('commit:down', 'commit:answerLost', 'commit:requestLost')
  return types
}

function attemptEvents (state: IClaimsState, name: Attempt, mutant: string | undefined): readonly string[] {
  const attempt = state.attempts[name]
  const types: string[] = []
  const { dispatcher } = attempt
  for (const ownerName of OWNERS) {
    const owner = state.owners[ownerName]
    if (!owner.open || owner.doubt !== null) continue
    const mayAsk = (askedAt: OwnerName | null): boolean => askedAt === null || askedAt < ownerName
    if ((dispatcher === 'waiting' || dispatcher === 'asking') && mayAsk(attempt.claimAt)) types.push(`claim@${ownerName}`)
    if (attempt.linkLost && attempt.told === null && mayAsk(attempt.blockAt)) types.push(`block@${ownerName}`)
    if ((dispatcher === 'left' || dispatcher === 'denied') && mutant !== 'no-release' && table(owner).holds(KEY, name, holderOf(name))) types.push(`release@${ownerName}`)
  }
  if (attempt.granted && dispatcher === 'asking') types.push('dispatch')
  if (name === '1' && (dispatcher === 'waiting' || dispatcher === 'asking')) types.push('stopWaiting')
  if (name === '1' && !attempt.linkLost && attempt.told === null) types.push('loseLink')
  if (attempt.linkLost && attempt.told === null) types.push('noBlock')
  return types
}

function applyOwner (state: IClaimsState, owner: IOwnerState, event: string, mutant: string | undefined): void {
  const [type, fault] = event.split(':')
  if (type === 'takeOver') takeOver(state, owner, mutant)
  if (type === 'commit') commit(state, owner, fault, mutant)
  if (type === 'readBack') readBack(state, owner, mutant)
  if (type === 'giveUpWaiting') {
    unavailable(state, owner)
    owner.gaveUp = true
  }
}

function applyAttempt (state: IClaimsState, name: Attempt, event: string, mutant: string | undefined): void {
  const attempt = state.attempts[name]
  const [type, ownerName] = event.split('@')
  const owner = state.owners[ownerName as OwnerName]
  if (type === 'claim') {
    attempt.dispatcher = 'asking'
    attempt.claimAt = ownerName as OwnerName
    ask(state, owner, 'claim', name, mutant)
  }
  if (type === 'block') {
    attempt.blockAt = ownerName as OwnerName
    ask(state, owner, 'block', name, mutant)
  }
  if (type === 'noBlock') attempt.told = 'unknown'
  if (type === 'release') release(state, owner, name)
  if (type === 'dispatch') dispatch(state, attempt)
  if (type === 'stopWaiting') stop(attempt, 'left')
  if (type === 'loseLink') attempt.linkLost = true
}

/** The retention passes: whoever may claim no more because of its age has reached it before. */
function expire (state: IClaimsState): void {
  state.old = true
  state.head = { ...state.head, entries: [] }
  for (const name of OWNERS) state.owners[name].known = []
}

function claimIsFree (state: IClaimsState): boolean {
  const claims = new ClaimTable()
  for (const entry of state.head.entries) claims.apply(entry)
  return ATTEMPTS.every((name) => !claims.holds(KEY, name, holderOf(name)))
}

export const claimsSpec: ISpec<IClaimsState> = {
  name: 'claims',
  properties: {
    atMostOnce: 'the request runs at most once, whatever the number of attempts',
    truthful: 'an attempt of which a gateway has said "not run" has not run and never will',
    progress: 'from every state each gateway can still be told, and an id that never ran becomes free again without waiting for the retention'
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
    owners: { o1: { ...newOwner(1), open: true, modRevision: 1 }, o2: newOwner(2) },
    attempts: { 1: newAttempt(), 2: newAttempt() },
    runs: 0,
    faults: 0,
    old: false
  }),
  events: (state, mutant) => {
    const quiet = OWNERS.every((name) => state.owners[name].queued.length === 0 && state.owners[name].doubt === null)
    return [
      ...OWNERS.flatMap((name) => ownerEvents(state, name).map((type): ISpecEvent => ({ type, by: name }))),
      ...ATTEMPTS.flatMap((name) => attemptEvents(state, name, mutant).map((type): ISpecEvent => ({ type, by: name }))),
      ...(!state.old && quiet ? [{ type: 'expire' }] : [])
    ]
  },
  apply: (state, event, mutant) => {
    if (event.by === undefined) expire(state)
    else if (event.by in state.owners) applyOwner(state, state.owners[event.by as OwnerName], event.type, mutant)
    else applyAttempt(state, event.by as Attempt, event.type, mutant)
  },
  broken: (state) => [
    ...(state.runs > 1 ? ['atMostOnce'] : []),
    ...(ATTEMPTS.some((name) => state.attempts[name].ran && state.attempts[name].told === 'notRun') ? ['truthful'] : [])
  ],
  unfair: ['expire'],
  goal: (state) => ATTEMPTS.every((name) => state.attempts[name].told !== null) && (state.runs > 0 || claimIsFree(state))
}
