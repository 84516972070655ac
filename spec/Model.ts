/**
 * The interface of a specification, and its exhaustive exploration with `xstate/graph`.
 *
 * A specification defines states as plain data, the events that are possible in each state, and the state after each
 * event. The exploration visits every reachable state, breadth first, so the trace to a violation is a shortest one. A
 * mutant is the same specification without one safeguard. It must violate a property, or else the property proves nothing.
 */

import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'

/** One step of a trace: its type and, where it matters, who takes it. */
export interface ISpecEvent {
  readonly type: string
  readonly by?: string
}

/** The violated property and the steps that lead to the violation. */
export interface IViolation {
  readonly property: string
  readonly trace: readonly string[]
}

export interface ISpec<S> {
  readonly name: string
  /** The properties that must hold, by name, each described in one sentence. */
  readonly properties: Readonly<Record<string, string>>
  /** The bounds of the exploration. */
  readonly bounds: readonly string[]
  /** Each mutant with the property that it violates. */
  readonly mutants: Readonly<Record<string, string>>
  initial (): S
  /** The events possible in a state, under a mutant or none. */
  events (state: S, mutant: string | undefined): readonly ISpecEvent[]
  /** Changes `state`, which is a copy, to the state after the event. */
  apply (state: S, event: ISpecEvent, mutant: string | undefined): void
  /** Returns the names of the properties that a state violates. */
  violatedProperties (state: S): readonly string[]
  /** From every state, a state for which this is true must be reachable. The name of this property is `progress`. */
  readonly isGoal: (state: S) => boolean
  /** The types of events that progress must not depend on, because they need not happen. */
  readonly unfairEvents?: readonly string[]
}

export interface ISpecResult {
  readonly states: number
  readonly transitions: number
  readonly violation: IViolation | undefined
}

/** The limit of the exploration. A specification that reaches it lacks a bound. */
const MAX_TRAVERSALS = 3_000_000

interface INode<S> {
  readonly context: S
}

type Adjacency<S> = Record<string, {
  readonly state: INode<S>
  readonly transitions: Record<string, { readonly event: ISpecEvent, readonly state: INode<S> }>
}>

/** Explores a specification for all its properties, or one of its mutants for the property that the mutant violates. */
export function explore<S> (spec: ISpec<S>, mutant?: string): ISpecResult {
  const onlyProperty = mutant === undefined ? undefined : spec.mutants[mutant]
  const violatedProperty = (node: INode<S>): string | undefined =>
    spec.violatedProperties(node.context).find((property) => onlyProperty === undefined || property === onlyProperty)
  const texts = new WeakMap<object, string>()
  let isViolated = false
  const step = (state: S, event: ISpecEvent): S => {
    const next = JSON.parse(serialize(texts, state)) as S
    spec.apply(next, event, mutant)
    return next
  }
  const logic = fromTransition(step as never, spec.initial() as never)
  const adjacency = getAdjacencyMap(logic as never, {
    // Nothing is explored past the first violation: no state that is still queued is nearer to the initial state.
    events: (node: INode<S>) => {
      isViolated = isViolated || violatedProperty(node) !== undefined
      return isViolated ? [] : spec.events(node.context, mutant)
    },
    serializeState: (node: INode<S>) => serialize(texts, node.context),
    serializeEvent: eventName,
    limit: MAX_TRAVERSALS
  } as never) as unknown as Adjacency<S>
  const keys = Object.keys(adjacency)
  const transitions = keys.reduce((sum, key) => sum + Object.keys(adjacency[key]?.transitions ?? {}).length, 0)
  return { states: keys.length, transitions, violation: findViolation(spec, adjacency, keys, texts, violatedProperty) }
}

function serialize (texts: WeakMap<object, string>, state: unknown): string {
  const known = texts.get(state as object)
  if (known !== undefined) return known
  const text = JSON.stringify(state)
  texts.set(state as object, text)
  return text
}

function eventName (event: ISpecEvent): string {
  return event.by === undefined ? event.type : `${event.type}(${event.by})`
}

function findViolation<S> (
  spec: ISpec<S>, adjacency: Adjacency<S>, keys: readonly string[], texts: WeakMap<object, string>,
  violatedProperty: (node: INode<S>) => string | undefined
): IViolation | undefined {
  const unsafe = keys.find((key) => violatedProperty((adjacency[key] as { state: INode<S> }).state) !== undefined)
  if (unsafe !== undefined) {
    const property = violatedProperty((adjacency[unsafe] as { state: INode<S> }).state) ?? ''
    return { property, trace: findTrace(adjacency, keys, unsafe, texts) }
  }
  const stuck = findFirstStuck(spec, adjacency, keys, texts)
  return stuck === undefined ? undefined : { property: 'progress', trace: findTrace(adjacency, keys, stuck, texts) }
}

/** Finds the first state, breadth first, from which no goal state can be reached. */
function findFirstStuck<S> (
  spec: ISpec<S>, adjacency: Adjacency<S>, keys: readonly string[], texts: WeakMap<object, string>
): string | undefined {
  const predecessors = new Map<string, string[]>(keys.map((key) => [key, []]))
  for (const key of keys) {
    for (const { event, state } of Object.values(adjacency[key]?.transitions ?? {})) {
      if (spec.unfairEvents?.includes(event.type) !== true) predecessors.get(serialize(texts, state.context))?.push(key)
    }
  }
  const queue = keys.filter((key) => spec.isGoal((adjacency[key] as { state: INode<S> }).state.context))
  const canReach = new Set(queue)
  for (let key = queue.pop(); key !== undefined; key = queue.pop()) {
    for (const predecessor of predecessors.get(key) ?? []) {
      if (canReach.has(predecessor)) continue
      canReach.add(predecessor)
      queue.push(predecessor)
    }
  }
  return keys.find((key) => !canReach.has(key))
}

/** Finds the steps from the initial state. The map is in breadth-first order, so the first path found is a shortest one. */
function findTrace<S> (adjacency: Adjacency<S>, keys: readonly string[], target: string, texts: WeakMap<object, string>): readonly string[] {
  const cameFrom = new Map<string, { readonly key: string, readonly step: string }>()
  for (const key of keys) {
    for (const { event, state } of Object.values(adjacency[key]?.transitions ?? {})) {
      const next = serialize(texts, state.context)
      if (next !== keys[0] && !cameFrom.has(next)) cameFrom.set(next, { key, step: eventName(event) })
    }
  }
  const trace: string[] = []
  for (let from = cameFrom.get(target); from !== undefined; from = cameFrom.get(from.key)) trace.unshift(from.step)
  return trace
}
