/**
 * What a specification is, and its exhaustive exploration with `xstate/graph`.
 *
 * A specification is a set of states as plain data, the events possible in each, and what follows from each. Every
 * reachable state is visited, breadth first, so the trace to a violation is a shortest one. A mutant is the same
 * specification with one safeguard taken out; it must give a violation, or the property proves nothing.
 */

import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'

/** One step of a trace: `type` and, where it matters, by whom. */
export interface ISpecEvent {
  readonly type: string
  readonly by?: string
}

/** The violated property and what was seen. */
export interface IViolation {
  readonly property: string
  readonly trace: readonly string[]
}

export interface ISpec<S> {
  readonly name: string
  /** What must hold in every state, and from every state: named, in one sentence each. */
  readonly properties: Readonly<Record<string, string>>
  /** What the exploration is bounded by. */
  readonly bounds: readonly string[]
  /** Each mutant with the property that it breaks. */
  readonly mutants: Readonly<Record<string, string>>
  initial (): S
  /** The events possible in a state, under a mutant or none. */
  events (state: S, mutant: string | undefined): readonly ISpecEvent[]
  /** What follows; `state` is a copy that may be changed. */
  apply (state: S, event: ISpecEvent, mutant: string | undefined): void
  /** The names of the properties that a state breaks. */
  broken (state: S): readonly string[]
  /** From every state some state must be reachable in which this holds; the property's name is `progress`. */
  readonly goal: (state: S) => boolean
  /** Types of events that progress must not depend on. */
  readonly unfair?: readonly string[]
}

export interface ISpecResult {
  readonly states: number
  readonly transitions: number
  readonly violation: IViolation | undefined
}

/** More states than this means that a bound is missing. */
const MAX_TRAVERSALS = 3_000_000

interface INode<S> {
  readonly context: S
}

type Adjacency<S> = Record<string, {
  readonly state: INode<S>
  readonly transitions: Record<string, { readonly event: ISpecEvent, readonly state: INode<S> }>
}>

/** Explores a specification for all its properties, or one of its mutants for the property that it breaks. */
export function explore<S> (spec: ISpec<S>, mutant?: string): ISpecResult {
  const only = mutant === undefined ? undefined : spec.mutants[mutant]
  const check = (node: INode<S>): string | undefined => spec.broken(node.context).find((property) => only === undefined || property === only)
  const texts = new WeakMap<object, string>()
  let broken = false
  const step = (state: S, event: ISpecEvent): S => {
    const next = JSON.parse(textOf(texts, state)) as S
    spec.apply(next, event, mutant)
    return next
  }
  const logic = fromTransition(step as never, spec.initial() as never)
  const adjacency = getAdjacencyMap(logic as never, {
    // Nothing is explored past the first violation: what is queued by then can only be as far from the start or farther.
    events: (node: INode<S>) => {
      broken = broken || check(node) !== undefined
      return broken ? [] : spec.events(node.context, mutant)
    },
    serializeState: (node: INode<S>) => textOf(texts, node.context),
    serializeEvent: nameOf,
    limit: MAX_TRAVERSALS
  } as never) as unknown as Adjacency<S>
  const keys = Object.keys(adjacency)
  const transitions = keys.reduce((sum, key) => sum + Object.keys(adjacency[key]?.transitions ?? {}).length, 0)
  return { states: keys.length, transitions, violation: findViolation(spec, adjacency, keys, texts, check) }
}

function textOf (texts: WeakMap<object, string>, state: unknown): string {
  const known = texts.get(state as object)
  if (known !== undefined) return known
  const text = JSON.stringify(state)
  texts.set(state as object, text)
  return text
}

function nameOf (event: ISpecEvent): string {
  return event.by === undefined ? event.type : `${event.type}(${event.by})`
}

function findViolation<S> (
  spec: ISpec<S>, adjacency: Adjacency<S>, keys: readonly string[], texts: WeakMap<object, string>, check: (node: INode<S>) => string | undefined
): IViolation | undefined {
  const unsafe = keys.find((key) => check((adjacency[key] as { state: INode<S> }).state) !== undefined)
  if (unsafe !== undefined) {
    const property = check((adjacency[unsafe] as { state: INode<S> }).state) ?? ''
    return { property, trace: traceTo(adjacency, keys, unsafe, texts) }
  }
  const stuck = firstStuck(spec, adjacency, keys, texts)
  return stuck === undefined ? undefined : { property: 'progress', trace: traceTo(adjacency, keys, stuck, texts) }
}

/** The first state, breadth first, from which no goal can be reached any more. */
function firstStuck<S> (
  spec: ISpec<S>, adjacency: Adjacency<S>, keys: readonly string[], texts: WeakMap<object, string>
): string | undefined {
  const before = new Map<string, string[]>(keys.map((key) => [key, []]))
  for (const key of keys) {
    for (const { event, state } of Object.values(adjacency[key]?.transitions ?? {})) {
      if (spec.unfair?.includes(event.type) !== true) before.get(textOf(texts, state.context))?.push(key)
    }
  }
  const open = keys.filter((key) => spec.goal((adjacency[key] as { state: INode<S> }).state.context))
  const canReach = new Set(open)
  for (let key = open.pop(); key !== undefined; key = open.pop()) {
    for (const earlier of before.get(key) ?? []) {
      if (canReach.has(earlier)) continue
      canReach.add(earlier)
      open.push(earlier)
    }
  }
  return keys.find((key) => !canReach.has(key))
}

/** The steps from the initial state; the map is in breadth-first order, so the first way found is a shortest one. */
function traceTo<S> (adjacency: Adjacency<S>, keys: readonly string[], target: string, texts: WeakMap<object, string>): readonly string[] {
  const cameFrom = new Map<string, { readonly key: string, readonly step: string }>()
  for (const key of keys) {
    for (const { event, state } of Object.values(adjacency[key]?.transitions ?? {})) {
      const next = textOf(texts, state.context)
      if (next !== keys[0] && !cameFrom.has(next)) cameFrom.set(next, { key, step: nameOf(event) })
    }
  }
  const trace: string[] = []
  for (let from = cameFrom.get(target); from !== undefined; from = cameFrom.get(from.key)) trace.unshift(from.step)
  return trace
}
