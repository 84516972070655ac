/**
 * One profile, two operators who race to change it, and two processes that keep a copy. The store writes by
 * compare-and-swap on the revision that the operator saw; its answer may be lost; an operator may then read back.
 * A process hears of a change from the store or from the other process, and may start anew with an empty copy.
 *
 * Entries are the code's `IConfigEntry` without what plays no part here. A process takes them in as the code does, by
 * `ConfigReplica`.
 */

import { ConfigReplica } from '../src/common/config/ConfigReplica.js'

import type { IConfigEntry } from '../src/common/config/Types.js'
import type { ISpec, ISpecEvent } from './Model.js'

const OPERATORS = ['x', 'y'] as const
const PROCESSES = ['p', 'q'] as const
const MAX_CHANGES = { x: 2, y: 1 } as const
const MAX_FAULTS = 1
const MAX_RESTARTS = 1
const PROFILE = 'urgent'

type OperatorName = typeof OPERATORS[number]
type ProcessName = typeof PROCESSES[number]
type Entry = Pick<IConfigEntry, 'revision' | 'deleted' | 'writer' | 'nonce'>
type Answer = 'accepted' | 'refused' | 'unknown'

interface IOperatorState {
  /** The revision it has seen and changes from; null before it has read. */
  seen: number | null
  /** A change on its way to the store. */
  sent: Entry | null
  /** A change whose answer was lost. */
  doubt: Entry | null
  /** A request that nobody waits for and that may still arrive. */
  stray: Entry | null
  /** The change on its way has been sent before: a conflict may be with its own first request. */
  repeats: boolean
  changes: number
  /** What it was told of each of its changes, by nonce. */
  told: Record<string, Answer>
}

export interface IProfileState {
  store: Entry
  /** Every entry that ever stood in the store, oldest first. */
  history: Entry[]
  operators: Record<OperatorName, IOperatorState>
  replicas: Record<ProcessName, Entry | null>
  /** The highest revision that each process ever had, over its restarts too if another one kept it. */
  reverted: boolean
  faults: number
  restarts: number
}

const FIRST: Entry = { revision: 1, deleted: false, writer: 'start', nonce: 'start' }

function newOperator (): IOperatorState {
  return { seen: null, sent: null, doubt: null, stray: null, repeats: false, changes: 0, told: {} }
}

function swap (state: IProfileState, entry: Entry, mutant: string | undefined): boolean {
  const expected = entry.revision - 1
  if (state.store.revision !== expected && mutant !== 'no-compare') return false
  // The mutant drops the entry of a deletion, so that the next change counts from one again.
  const written = mutant === 'deletion-forgets' && entry.deleted ? { ...entry, revision: 0 } : entry
  state.store = written
  state.history.push(written)
  return true
}

function change (state: IProfileState, name: OperatorName, deleted: boolean): void {
  const operator = state.operators[name]
  operator.changes += 1
  const revision = (operator.seen ?? 0) + 1
  operator.sent = { revision, deleted, writer: name, nonce: `${name}${operator.changes}` }
  operator.seen = null
}

function arrive (state: IProfileState, name: OperatorName, mutant: string | undefined): void {
  const operator = state.operators[name]
  if (operator.sent === null) return
  const { sent, repeats } = operator
  const done = swap(state, sent, mutant)
  operator.sent = null
  operator.repeats = false
  if (!done && repeats && mutant !== 'conflict-is-refused') operator.doubt = sent
  else settle(operator, sent, done ? 'accepted' : 'refused')
}

function fail (state: IProfileState, name: OperatorName, type: string, mutant: string | undefined): void {
  const operator = state.operators[name]
  const { sent } = operator
  if (sent === null) return
  state.faults += 1
  operator.sent = null
  if (type === 'answer lost') swap(state, sent, mutant)
  else operator.stray = sent
  operator.doubt = sent
  if (mutant === 'lost-is-refused') settle(operator, sent, 'refused')
  if (mutant === 'lost-is-accepted') settle(operator, sent, 'accepted')
}

function settle (operator: IOperatorState, entry: Entry, answer: Answer): void {
  operator.told[entry.nonce] = answer
  operator.doubt = null
}

/**
 * Reads back after a lost answer. Its own nonce: accepted. The revision it started from: still open, so it asks once
 * more with the same change. Another change with the revision that it wanted: refused, for certain. A later revision:
 * its change may have been in force and been followed by another, so the operator is told that the outcome is unknown.
 */
function readBack (state: IProfileState, name: OperatorName, mutant: string | undefined): void {
  const operator = state.operators[name]
  const { doubt } = operator
  if (doubt === null) return
  if (state.store.nonce === doubt.nonce) settle(operator, doubt, 'accepted')
  else if (state.store.revision < doubt.revision) {
    operator.sent = doubt
    operator.repeats = true
    operator.doubt = null
  } else {
    const provable = state.store.revision === doubt.revision
    settle(operator, doubt, provable || mutant === 'other-means-refused' ? 'refused' : 'unknown')
  }
}

function hear (state: IProfileState, name: ProcessName, entry: Entry | null, mutant: string | undefined): void {
  const own = state.replicas[name]
  if (entry === null) return
  const heard = mutant === 'apply-any' ? entry : applied(own, entry)
  if (own !== null && heard.revision < own.revision) state.reverted = true
  state.replicas[name] = heard
}

/** What the code's replica holds after it has heard of an entry. */
function applied (own: Entry | null, entry: Entry): Entry {
  const replica = new ConfigReplica()
  for (const each of own === null ? [entry] : [own, entry]) replica.apply([{ ...each, kind: 'profile', name: PROFILE, changedAt: 0 }])
  const { revision, deleted, writer, nonce } = replica.get('profile', PROFILE) as IConfigEntry
  return { revision, deleted, writer, nonce }
}

function operatorEvents (state: IProfileState, name: OperatorName): readonly string[] {
  const operator = state.operators[name]
  const idle = operator.sent === null && operator.doubt === null
  const types: string[] = []
  if (idle && operator.seen === null && operator.changes < MAX_CHANGES[name]) types.push('read')
  if (idle && operator.seen !== null) types.push(...(name === 'x' ? ['put', 'delete'] : ['put']))
  if (operator.sent !== null) types.push('arrives')
  if (operator.sent !== null && state.faults < MAX_FAULTS) types.push('answer lost', 'late')
  if (operator.doubt !== null) types.push('read back')
  if (operator.stray !== null) types.push('stray arrives')
  return types
}

function processEvents (state: IProfileState, name: ProcessName): readonly string[] {
  const types: string[] = []
  const other = state.replicas[otherThan(name)]
  if (state.replicas[name]?.nonce !== state.store.nonce) types.push('watch')
  if (other !== null && state.replicas[name]?.nonce !== other.nonce) types.push('gossip')
  if (state.replicas[name] !== null && state.restarts < MAX_RESTARTS) types.push('restart')
  return types
}

function otherThan (name: ProcessName): ProcessName {
  return name === 'p' ? 'q' : 'p'
}

function applyOperator (state: IProfileState, name: OperatorName, type: string, mutant: string | undefined): void {
  const operator = state.operators[name]
  if (type === 'read') operator.seen = state.store.revision
  if (type === 'put' || type === 'delete') change(state, name, type === 'delete')
  if (type === 'arrives') arrive(state, name, mutant)
  if (type === 'answer lost' || type === 'late') fail(state, name, type, mutant)
  if (type === 'read back') readBack(state, name, mutant)
  if (type === 'stray arrives' && operator.stray !== null) {
    swap(state, operator.stray, mutant)
    operator.stray = null
  }
}

function applyProcess (state: IProfileState, name: ProcessName, type: string, mutant: string | undefined): void {
  if (type === 'watch') hear(state, name, state.store, mutant)
  if (type === 'gossip') hear(state, name, state.replicas[otherThan(name)], mutant)
  if (type === 'restart') {
    state.restarts += 1
    state.replicas[name] = null
  }
}

function saidWrongly (state: IProfileState, answer: Answer, wasInForce: boolean): boolean {
  return OPERATORS.some((name) => Object.entries(state.operators[name].told).some(([nonce, told]) => {
    return told === answer && state.history.some((entry) => entry.nonce === nonce) === wasInForce
  }))
}

/** Two changes under one revision, or a revision that isn't one above the last. */
function hasGap (state: IProfileState): boolean {
  return state.history.some((entry, index) => entry.revision !== index + FIRST.revision)
}

export const profileSpec: ISpec<IProfileState> = {
  name: 'profiles',
  properties: {
    accepted: 'a change that an operator was told is accepted has stood in the store',
    refused: 'a change that an operator was told is refused never was in force',
    revisions: 'each accepted change has the next revision, deletions too',
    neverReverts: 'no process goes back to a lower revision',
    progress: 'from every state each process can still come to hold what the store holds'
  },
  bounds: [
    '1 profile, 2 operators, 2 processes', '2 puts or deletions of the first operator, 1 put of the second',
    `${MAX_FAULTS} lost answer or late request`, `${MAX_RESTARTS} restart with an empty copy`
  ],
  mutants: {
    'lost-is-accepted': 'accepted',
    'lost-is-refused': 'refused',
    'other-means-refused': 'refused',
    'conflict-is-refused': 'refused',
    'no-compare': 'revisions',
    'deletion-forgets': 'progress',
    'apply-any': 'neverReverts'
  },
  initial: () => ({
    store: FIRST,
    history: [FIRST],
    operators: { x: newOperator(), y: newOperator() },
    replicas: { p: FIRST, q: FIRST },
    reverted: false,
    faults: 0,
    restarts: 0
  }),
  events: (state) => [
    ...OPERATORS.flatMap((name) => operatorEvents(state, name).map((type): ISpecEvent => ({ type, by: name }))),
    ...PROCESSES.flatMap((name) => processEvents(state, name).map((type): ISpecEvent => ({ type, by: name })))
  ],
  apply: (state, event, mutant) => {
    if (event.by === 'x' || event.by === 'y') applyOperator(state, event.by, event.type, mutant)
    else applyProcess(state, event.by as ProcessName, event.type, mutant)
  },
  broken: (state) => [
    ...(saidWrongly(state, 'accepted', false) ? ['accepted'] : []),
    ...(saidWrongly(state, 'refused', true) ? ['refused'] : []),
    ...(hasGap(state) ? ['revisions'] : []),
    ...(state.reverted ? ['neverReverts'] : [])
  ],
  goal: (state) => PROCESSES.every((name) => state.replicas[name]?.nonce === state.store.nonce)
}
