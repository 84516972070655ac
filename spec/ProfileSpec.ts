/**
 * One profile, two operators who change it concurrently, and two processes that keep a copy. The store writes by
 * compare-and-swap on the revision that the operator has read. Its answer may be lost; the operator may then read back.
 * A process learns of a change from the store or from the other process, and may restart with an empty copy.
 *
 * Entries are the real `IConfigEntry` without the fields that do not matter here. A process applies them with the real
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
  /** The revision that the operator has read and bases its change on; null before the operator has read. */
  seenRevision: number | null
  /** A change in flight to the store. */
  sentEntry: Entry | null
  /** A change whose answer was lost. */
  uncertainEntry: Entry | null
  /** A change whose answer nobody waits for and that may still arrive. */
  strayEntry: Entry | null
  /** Whether the change in flight has been sent before, so that a conflict may be with its own first request. */
  isRepeated: boolean
  changes: number
  /** The answer to each of the operator's changes, by nonce. */
  answers: Record<string, Answer>
}

export interface IProfileState {
  store: Entry
  /** Every entry that the store ever held, oldest first. */
  history: Entry[]
  operators: Record<OperatorName, IOperatorState>
  replicas: Record<ProcessName, Entry | null>
  /** Whether a process has ever replaced its entry by one of a lower revision. A restart, which empties the copy, does not count. */
  hasReverted: boolean
  faults: number
  restarts: number
}

const FIRST: Entry = { revision: 1, deleted: false, writer: 'start', nonce: 'start' }

function newOperator (): IOperatorState {
  return { seenRevision: null, sentEntry: null, uncertainEntry: null, strayEntry: null, isRepeated: false, changes: 0, answers: {} }
}

function swapEntry (state: IProfileState, entry: Entry, mutant: string | undefined): boolean {
  const expected = entry.revision - 1
  if (state.store.revision !== expected && mutant !== 'no-compare') return false
  // The mutant drops the entry of a deletion, so that revisions start from one again.
  const written = mutant === 'deletion-forgets' && entry.deleted ? { ...entry, revision: 0 } : entry
  state.store = written
  state.history.push(written)
  return true
}

function sendChange (state: IProfileState, name: OperatorName, deleted: boolean): void {
  const operator = state.operators[name]
  operator.changes += 1
  const revision = (operator.seenRevision ?? 0) + 1
  operator.sentEntry = { revision, deleted, writer: name, nonce: `${name}${operator.changes}` }
  operator.seenRevision = null
}

function deliverChange (state: IProfileState, name: OperatorName, mutant: string | undefined): void {
  const operator = state.operators[name]
  if (operator.sentEntry === null) return
  const { sentEntry: sent, isRepeated: wasRepeated } = operator
  const isSwapped = swapEntry(state, sent, mutant)
  operator.sentEntry = null
  operator.isRepeated = false
  if (!isSwapped && wasRepeated && mutant !== 'conflict-is-refused') operator.uncertainEntry = sent
  else recordAnswer(operator, sent, isSwapped ? 'accepted' : 'refused')
}

function failChange (state: IProfileState, name: OperatorName, type: string, mutant: string | undefined): void {
  const operator = state.operators[name]
  const { sentEntry: sent } = operator
  if (sent === null) return
  state.faults += 1
  operator.sentEntry = null
  if (type === 'answer lost') swapEntry(state, sent, mutant)
  else operator.strayEntry = sent
  operator.uncertainEntry = sent
  if (mutant === 'lost-is-refused') recordAnswer(operator, sent, 'refused')
  if (mutant === 'lost-is-accepted') recordAnswer(operator, sent, 'accepted')
}

function recordAnswer (operator: IOperatorState, entry: Entry, answer: Answer): void {
  operator.answers[entry.nonce] = answer
  operator.uncertainEntry = null
}

/**
 * Reads the store after a lost answer. If the store holds the change's own nonce, the change was accepted. If the store
 * still holds the base revision, the change may not have arrived, so the operator sends it once more. If another change
 * has the wanted revision, the change was refused. If the revision is later, the change may have been in force and been
 * replaced, so the operator is told that the outcome is unknown.
 */
function readBack (state: IProfileState, name: OperatorName, mutant: string | undefined): void {
  const operator = state.operators[name]
  const { uncertainEntry: uncertain } = operator
  if (uncertain === null) return
  if (state.store.nonce === uncertain.nonce) recordAnswer(operator, uncertain, 'accepted')
  else if (state.store.revision < uncertain.revision) {
    operator.sentEntry = uncertain
    operator.isRepeated = true
    operator.uncertainEntry = null
  } else {
    const isProvable = state.store.revision === uncertain.revision
    recordAnswer(operator, uncertain, isProvable || mutant === 'other-means-refused' ? 'refused' : 'unknown')
  }
}

function receiveEntry (state: IProfileState, name: ProcessName, entry: Entry | null, mutant: string | undefined): void {
  const own = state.replicas[name]
  if (entry === null) return
  const merged = mutant === 'apply-any' ? entry : mergeEntry(own, entry)
  if (own !== null && merged.revision < own.revision) state.hasReverted = true
  state.replicas[name] = merged
}

/** Returns the entry that the real replica holds after it has applied an entry to its own one. */
function mergeEntry (own: Entry | null, entry: Entry): Entry {
  const replica = new ConfigReplica()
  for (const each of own === null ? [entry] : [own, entry]) replica.apply([{ ...each, kind: 'profile', name: PROFILE, changedAt: 0 }])
  const { revision, deleted, writer, nonce } = replica.get('profile', PROFILE) as IConfigEntry
  return { revision, deleted, writer, nonce }
}

function operatorEvents (state: IProfileState, name: OperatorName): readonly string[] {
  const operator = state.operators[name]
  const isIdle = operator.sentEntry === null && operator.uncertainEntry === null
  const types: string[] = []
  if (isIdle && operator.seenRevision === null && operator.changes < MAX_CHANGES[name]) types.push('read')
  if (isIdle && operator.seenRevision !== null) types.push(...(name === 'x' ? ['put', 'delete'] : ['put']))
  if (operator.sentEntry !== null) types.push('arrives')
  if (operator.sentEntry !== null && state.faults < MAX_FAULTS) types.push('answer lost', 'late')
  if (operator.uncertainEntry !== null) types.push('read back')
  if (operator.strayEntry !== null) types.push('stray arrives')
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
  if (type === 'read') operator.seenRevision = state.store.revision
  if (type === 'put' || type === 'delete') sendChange(state, name, type === 'delete')
  if (type === 'arrives') deliverChange(state, name, mutant)
  if (type === 'answer lost' || type === 'late') failChange(state, name, type, mutant)
  if (type === 'read back') readBack(state, name, mutant)
  if (type === 'stray arrives' && operator.strayEntry !== null) {
    swapEntry(state, operator.strayEntry, mutant)
    operator.strayEntry = null
  }
}

function applyProcess (state: IProfileState, name: ProcessName, type: string, mutant: string | undefined): void {
  if (type === 'watch') receiveEntry(state, name, state.store, mutant)
  if (type === 'gossip') receiveEntry(state, name, state.replicas[otherThan(name)], mutant)
  if (type === 'restart') {
    state.restarts += 1
    state.replicas[name] = null
  }
}

function hasFalseAnswer (state: IProfileState, answer: Answer, wasInForce: boolean): boolean {
  return OPERATORS.some((name) => Object.entries(state.operators[name].answers).some(([nonce, given]) => {
    return given === answer && state.history.some((entry) => entry.nonce === nonce) === wasInForce
  }))
}

/** Whether two changes have the same revision, or a revision is not one above the previous one. */
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
    hasReverted: false,
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
  violatedProperties: (state) => [
    ...(hasFalseAnswer(state, 'accepted', false) ? ['accepted'] : []),
    ...(hasFalseAnswer(state, 'refused', true) ? ['refused'] : []),
    ...(hasGap(state) ? ['revisions'] : []),
    ...(state.hasReverted ? ['neverReverts'] : [])
  ],
  isGoal: (state) => PROCESSES.every((name) => state.replicas[name]?.nonce === state.store.nonce)
}
