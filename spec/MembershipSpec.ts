/**
 * The precedence of statements about one member. Two observers suspect the member, declare it dead or forget it. The
 * member stalls, leaves, restarts or stops. Every statement that was ever made may arrive at any process, at any time and
 * any number of times. The observers and the member run the real `comparePrecedence` and `refute`.
 */

import { comparePrecedence, refute } from '../src/common/membership/Precedence.js'
import type { IMemberNews, MemberState } from '../src/common/protocol/Types.js'

const OBSERVERS = ['x', 'y'] as const
const MEMBER = 'm'
const MAX_INCARNATION = 2
/** The maximum number of suspicions of a running member. Suspicions of a stopped member are not bounded. */
const MAX_SUSPICIONS = 1

type ObserverName = typeof OBSERVERS[number]

interface ISpecStep {
  readonly type: string
  readonly by?: string
}

interface IStatement {
  readonly incarnation: number
  readonly sequence: number
  readonly state: MemberState
}

export interface IMembershipState {
  member: IStatement
  isRunning: boolean
  suspicions: number
  /** The statement that each observer holds; null if the observer has forgotten the member. */
  held: Record<ObserverName, IStatement | null>
  /** The statement with the highest precedence that each observer ever held. */
  strongest: Record<ObserverName, IStatement>
  /** The incarnation that each observer has seen in the state `leaving`; 0 for none. */
  leavingIncarnation: Record<ObserverName, number>
  /** All statements ever made, as text, sorted. */
  statements: string[]
}

function toNews (statement: IStatement): IMemberNews {
  return { processId: MEMBER, ...statement }
}

function compare (a: IStatement, b: IStatement, mutant: string | undefined): number {
  if (mutant !== 'ignore-sequence') return comparePrecedence(toNews(a), toNews(b))
  return comparePrecedence({ ...toNews(a), sequence: 0 }, { ...toNews(b), sequence: 0 })
}

function textOf ({ incarnation, sequence, state }: IStatement): string {
  return `${incarnation}.${sequence}.${state}`
}

function parseStatement (text: string): IStatement {
  const [incarnation, sequence, state] = text.split('.')
  return { incarnation: Number(incarnation), sequence: Number(sequence), state: state as MemberState }
}

function addStatement (state: IMembershipState, statement: IStatement): void {
  const text = textOf(statement)
  if (!state.statements.includes(text)) state.statements = [...state.statements, text].sort()
}

function holdStatement (state: IMembershipState, observer: ObserverName, statement: IStatement): void {
  state.held[observer] = statement
  if (comparePrecedence(toNews(statement), toNews(state.strongest[observer])) > 0) state.strongest[observer] = statement
  if (statement.state === 'leaving') state.leavingIncarnation[observer] = statement.incarnation
}

function declareState (state: IMembershipState, observer: ObserverName, memberState: MemberState): void {
  const statement = { ...state.held[observer] as IStatement, state: memberState }
  holdStatement(state, observer, statement)
  addStatement(state, statement)
}

function receiveStatement (state: IMembershipState, observer: ObserverName, statement: IStatement, mutant: string | undefined): void {
  const held = state.held[observer]
  if (held === null || compare(statement, held, mutant) > 0) holdStatement(state, observer, statement)
}

function announceSelf (state: IMembershipState, statement: IStatement): void {
  state.member = statement
  addStatement(state, statement)
}

function receiveNewsOfSelf (state: IMembershipState, statement: IStatement, mutant: string | undefined): void {
  const answer = refute(toNews(state.member), toNews(statement))
  if (answer === undefined) return
  const sequence = mutant === 'refute-at-same-sequence' ? statement.sequence : answer.sequence
  const memberState = mutant === 'refute-as-alive' ? 'alive' : answer.state
  announceSelf(state, { incarnation: answer.incarnation, sequence, state: memberState })
}

function observerEvents (state: IMembershipState, observer: ObserverName, mutant: string | undefined): readonly ISpecStep[] {
  const held = state.held[observer]
  const maySuspect = !state.isRunning || state.suspicions < MAX_SUSPICIONS
  const effective = state.statements.filter((text) => held === null || compare(parseStatement(text), held, mutant) > 0)
  const events: ISpecStep[] = effective.map((text) => ({ type: `hear ${text}`, by: observer }))
  if (held?.state === 'alive' && maySuspect) events.push({ type: 'suspect', by: observer })
  if (held?.state === 'suspect' || (held?.state === 'leaving' && maySuspect)) events.push({ type: 'declareDead', by: observer })
  if (held?.state === 'dead' && mutant === 'no-last-word') events.push({ type: 'forget', by: observer })
  return events
}

function memberEvents (state: IMembershipState): readonly ISpecStep[] {
  if (!state.isRunning) return []
  const effective = state.statements.filter((text) => refute(toNews(state.member), toNews(parseStatement(text))) !== undefined)
  const events: ISpecStep[] = effective.map((text) => ({ type: `hear ${text}`, by: MEMBER }))
  if (state.member.state === 'alive') events.push({ type: 'leave', by: MEMBER })
  if (state.member.incarnation < MAX_INCARNATION) events.push({ type: 'restart', by: MEMBER })
  return [...events, { type: 'stop', by: MEMBER }]
}

function applyMemberEvent (state: IMembershipState, type: string, mutant: string | undefined): void {
  const { incarnation, sequence } = state.member
  if (type === 'leave') announceSelf(state, { incarnation, sequence: sequence + 1, state: 'leaving' })
  else if (type === 'restart') announceSelf(state, { incarnation: incarnation + 1, sequence: 0, state: 'alive' })
  else if (type === 'stop') state.isRunning = false
  else receiveNewsOfSelf(state, parseStatement(type.slice('hear '.length)), mutant)
}

function applyObserverEvent (state: IMembershipState, type: string, observer: ObserverName, mutant: string | undefined): void {
  if (type === 'suspect' || type === 'declareDead') {
    if (state.isRunning && (type === 'suspect' || state.held[observer]?.state === 'leaving')) state.suspicions += 1
    declareState(state, observer, type === 'suspect' ? 'suspect' : 'dead')
  } else if (type === 'forget') state.held[observer] = null
  else receiveStatement(state, observer, parseStatement(type.slice('hear '.length)), mutant)
}

const START: IStatement = { incarnation: 1, sequence: 0, state: 'alive' }

export const membershipSpec = {
  name: 'membership',
  properties: {
    neverBack: 'No observer ever accepts a statement of lower precedence than one that it held before: old gossip cannot bring a dead member back.',
    leavingStays: 'An observer that has seen an incarnation leaving never sees it alive again.',
    progress: 'From every state all observers can still learn what the running member states about itself, or that a stopped member is dead.'
  },
  bounds: [`${OBSERVERS.length} observers`, `${MAX_INCARNATION} incarnations`, `${MAX_SUSPICIONS} suspicions of the running member`],
  mutants: {
    'refute-at-same-sequence': 'progress',
    'ignore-sequence': 'progress',
    'refute-as-alive': 'leavingStays',
    'no-last-word': 'neverBack'
  },
  initial: (): IMembershipState => ({
    member: START,
    isRunning: true,
    suspicions: 0,
    held: { x: START, y: START },
    strongest: { x: START, y: START },
    leavingIncarnation: { x: 0, y: 0 },
    statements: [textOf(START)]
  }),
  events: (state: IMembershipState, mutant: string | undefined): readonly ISpecStep[] =>
    [...OBSERVERS.flatMap((observer) => observerEvents(state, observer, mutant)), ...memberEvents(state)],
  apply: (state: IMembershipState, { type, by }: ISpecStep, mutant: string | undefined): void => {
    if (by === MEMBER) applyMemberEvent(state, type, mutant)
    else applyObserverEvent(state, type, by as ObserverName, mutant)
  },
  violatedProperties: (state: IMembershipState): readonly string[] => {
    const violated: string[] = []
    for (const observer of OBSERVERS) {
      const held = state.held[observer]
      if (held === null) continue
      if (comparePrecedence(toNews(held), toNews(state.strongest[observer])) < 0) violated.push('neverBack')
      if (held.state === 'alive' && state.leavingIncarnation[observer] === held.incarnation) violated.push('leavingStays')
    }
    return violated
  },
  isGoal: (state: IMembershipState): boolean => OBSERVERS.every((observer) => {
    const held = state.held[observer]
    if (held === null) return false
    return state.isRunning ? textOf(held) === textOf(state.member) : held.state === 'dead'
  }),
  unfairEvents: ['leave', 'restart', 'stop']
} as const
