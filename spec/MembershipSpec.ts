/**
 * The precedence of statements about one member: two observers suspect it, declare it dead, forget it; it stalls,
 * leaves, restarts or stops; and everything ever said may arrive anywhere, at any time, any number of times. The
 * observers and the member run the code's own `comparePrecedence` and `refute`.
 */

import { comparePrecedence, refute } from '../src/common/membership/Precedence.js'
import type { IMemberNews, MemberState } from '../src/common/protocol/Types.js'

const OBSERVERS = ['x', 'y'] as const
const MEMBER = 'm'
const MAX_INCARNATION = 2
/** Suspicions of a member that runs; of one that has stopped there is no end. */
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
  running: boolean
  suspicions: number
  /** What each observer holds; null for one that has forgotten the member altogether. */
  holds: Record<ObserverName, IStatement | null>
  /** The strongest statement that each observer ever held. */
  best: Record<ObserverName, IStatement>
  /** The incarnation that each observer has seen leaving; 0 for none. */
  sawLeaving: Record<ObserverName, number>
  /** Everything ever said, as text, sorted. */
  said: string[]
}

function news (statement: IStatement): IMemberNews {
  return { processId: MEMBER, ...statement }
}

function compare (a: IStatement, b: IStatement, mutant: string | undefined): number {
  if (mutant !== 'ignore-sequence') return comparePrecedence(news(a), news(b))
  return comparePrecedence({ ...news(a), sequence: 0 }, { ...news(b), sequence: 0 })
}

function textOf ({ incarnation, sequence, state }: IStatement): string {
  return `${incarnation}.${sequence}.${state}`
}

function parse (text: string): IStatement {
  const [incarnation, sequence, state] = text.split('.')
  return { incarnation: Number(incarnation), sequence: Number(sequence), state: state as MemberState }
}

function say (state: IMembershipState, statement: IStatement): void {
  const text = textOf(statement)
  if (!state.said.includes(text)) state.said = [...state.said, text].sort()
}

function hold (state: IMembershipState, observer: ObserverName, statement: IStatement): void {
  state.holds[observer] = statement
  if (comparePrecedence(news(statement), news(state.best[observer])) > 0) state.best[observer] = statement
  if (statement.state === 'leaving') state.sawLeaving[observer] = statement.incarnation
}

function assertAs (state: IMembershipState, observer: ObserverName, memberState: MemberState): void {
  const statement = { ...state.holds[observer] as IStatement, state: memberState }
  hold(state, observer, statement)
  say(state, statement)
}

function hear (state: IMembershipState, observer: ObserverName, statement: IStatement, mutant: string | undefined): void {
  const held = state.holds[observer]
  if (held === null || compare(statement, held, mutant) > 0) hold(state, observer, statement)
}

function speak (state: IMembershipState, statement: IStatement): void {
  state.member = statement
  say(state, statement)
}

function hearOfSelf (state: IMembershipState, statement: IStatement, mutant: string | undefined): void {
  const answer = refute(news(state.member), news(statement))
  if (answer === undefined) return
  const sequence = mutant === 'refute-at-same-sequence' ? statement.sequence : answer.sequence
  const memberState = mutant === 'refute-as-alive' ? 'alive' : answer.state
  speak(state, { incarnation: answer.incarnation, sequence, state: memberState })
}

function observerEvents (state: IMembershipState, observer: ObserverName, mutant: string | undefined): readonly ISpecStep[] {
  const held = state.holds[observer]
  const maySuspect = !state.running || state.suspicions < MAX_SUSPICIONS
  const telling = state.said.filter((text) => held === null || compare(parse(text), held, mutant) > 0)
  const events: ISpecStep[] = telling.map((text) => ({ type: `hear ${text}`, by: observer }))
  if (held?.state === 'alive' && maySuspect) events.push({ type: 'suspect', by: observer })
  if (held?.state === 'suspect' || (held?.state === 'leaving' && maySuspect)) events.push({ type: 'declareDead', by: observer })
  if (held?.state === 'dead' && mutant === 'no-last-word') events.push({ type: 'forget', by: observer })
  return events
}

function memberEvents (state: IMembershipState): readonly ISpecStep[] {
  if (!state.running) return []
  const telling = state.said.filter((text) => refute(news(state.member), news(parse(text))) !== undefined)
  const events: ISpecStep[] = telling.map((text) => ({ type: `hear ${text}`, by: MEMBER }))
  if (state.member.state === 'alive') events.push({ type: 'leave', by: MEMBER })
  if (state.member.incarnation < MAX_INCARNATION) events.push({ type: 'restart', by: MEMBER })
  return [...events, { type: 'stop', by: MEMBER }]
}

function applyMemberEvent (state: IMembershipState, type: string, mutant: string | undefined): void {
  const { incarnation, sequence } = state.member
  if (type === 'leave') speak(state, { incarnation, sequence: sequence + 1, state: 'leaving' })
  else if (type === 'restart') speak(state, { incarnation: incarnation + 1, sequence: 0, state: 'alive' })
  else if (type === 'stop') state.running = false
  else hearOfSelf(state, parse(type.slice('hear '.length)), mutant)
}

function applyObserverEvent (state: IMembershipState, type: string, observer: ObserverName, mutant: string | undefined): void {
  if (type === 'suspect' || type === 'declareDead') {
    if (state.running && (type === 'suspect' || state.holds[observer]?.state === 'leaving')) state.suspicions += 1
    assertAs(state, observer, type === 'suspect' ? 'suspect' : 'dead')
  } else if (type === 'forget') state.holds[observer] = null
  else hear(state, observer, parse(type.slice('hear '.length)), mutant)
}

const START: IStatement = { incarnation: 1, sequence: 0, state: 'alive' }

export const membershipSpec = {
  name: 'membership',
  properties: {
    neverBack: 'No observer ever takes a statement that does not hold over one that it held before: the dead stay dead, whatever old gossip says.',
    leavingStays: 'An observer that saw an incarnation leaving never sees it alive again.',
    progress: 'From every state all observers can come to hold what the running member says of itself, or that a stopped one is dead.'
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
    running: true,
    suspicions: 0,
    holds: { x: START, y: START },
    best: { x: START, y: START },
    sawLeaving: { x: 0, y: 0 },
    said: [textOf(START)]
  }),
  events: (state: IMembershipState, mutant: string | undefined): readonly ISpecStep[] =>
    [...OBSERVERS.flatMap((observer) => observerEvents(state, observer, mutant)), ...memberEvents(state)],
  apply: (state: IMembershipState, { type, by }: ISpecStep, mutant: string | undefined): void => {
    if (by === MEMBER) applyMemberEvent(state, type, mutant)
    else applyObserverEvent(state, type, by as ObserverName, mutant)
  },
  broken: (state: IMembershipState): readonly string[] => {
    const broken: string[] = []
    for (const observer of OBSERVERS) {
      const held = state.holds[observer]
      if (held === null) continue
      if (comparePrecedence(news(held), news(state.best[observer])) < 0) broken.push('neverBack')
      if (held.state === 'alive' && state.sawLeaving[observer] === held.incarnation) broken.push('leavingStays')
    }
    return broken
  },
  goal: (state: IMembershipState): boolean => OBSERVERS.every((observer) => {
    const held = state.holds[observer]
    if (held === null) return false
    return state.running ? textOf(held) === textOf(state.member) : held.state === 'dead'
  }),
  unfair: ['leave', 'restart', 'stop']
} as const
