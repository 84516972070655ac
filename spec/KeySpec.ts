/**
 * The keys of a workspace in a cell: owner `a` is replaced by owner `b`, and two gateways pass calls on. The second version of the
 * configuration removes one key and adds another.
 *
 * Faults: gateways are cut off from the store; calls are in flight while the configuration or the owner changes.
 */

import type { ISpec, ISpecEvent } from './Model.js'

type OwnerName = 'a' | 'b'
type Version = 1 | 2
type Key = 'removed' | 'added'

const GATEWAYS = [0, 1] as const
const KEYS: readonly Key[] = ['removed', 'added']

interface ICall {
  readonly key: Key
  readonly version: Version
}

interface IGateway {
  version: Version
  isCutOff: boolean
  call: ICall | null
  /** The keys of which an answer showed this gateway's callers the second version. */
  shownNew: Key[]
}

export interface IKeyState {
  storeVersion: Version
  owner: OwnerName
  ownerVersion: Version
  gateways: IGateway[]
  hasRegressed: boolean
  /** Whether an owner with the second version has accepted the removed key. */
  hasAcceptedRemoved: boolean
  /** Whether a gateway that was cut off has refused the added key without asking the owner. */
  hasRefusedAdded: boolean
}

function createState (): IKeyState {
  const gateway = (): IGateway => ({ version: 1, isCutOff: false, call: null, shownNew: [] })
  return {
    storeVersion: 1,
    owner: 'a',
    ownerVersion: 1,
    gateways: [gateway(), gateway()],
    hasRegressed: false,
    hasAcceptedRemoved: false,
    hasRefusedAdded: false
  }
}

function knows (version: Version, key: Key): boolean {
  return (key === 'removed') === (version === 1)
}

function gatewayOf (state: IKeyState, number: number): IGateway {
  const gateway = state.gateways[number]
  if (gateway === undefined) throw new Error(`no gateway ${number}`)
  return gateway
}

/** Records an answer by which the caller sees whether the gateway knows the key. */
function answer (state: IKeyState, gateway: IGateway, key: Key, isAccepted: boolean): void {
  const showsNew = isAccepted === knows(2, key)
  if (!showsNew && gateway.shownNew.includes(key)) state.hasRegressed = true
  if (showsNew && !gateway.shownNew.includes(key)) gateway.shownNew = KEYS.filter((each) => each === key || gateway.shownNew.includes(each))
}

function call (state: IKeyState, number: number, key: Key, mutant: string | undefined): void {
  const gateway = gatewayOf(state, number)
  const isUnknown = !knows(gateway.version, key)
  if (isUnknown && (!gateway.isCutOff || mutant === 'refuse-when-old')) {
    if (gateway.isCutOff && key === 'added' && state.storeVersion === 2) state.hasRefusedAdded = true
    return answer(state, gateway, key, false)
  }
  gateway.call = { key, version: gateway.version }
}

function deliver (state: IKeyState, number: number, mutant: string | undefined): void {
  const gateway = gatewayOf(state, number)
  if (gateway.call === null) return
  const { key, version } = gateway.call
  gateway.call = null
  if (version > state.ownerVersion && mutant !== 'no-catch-up') state.ownerVersion = state.storeVersion
  const isAccepted = mutant === 'trust-gateway' ? knows(version, key) : knows(state.ownerVersion, key)
  if (isAccepted && key === 'removed' && state.ownerVersion === 2) state.hasAcceptedRemoved = true
  answer(state, gateway, key, isAccepted)
}

function gatewayEvents (state: IKeyState): readonly ISpecEvent[] {
  return GATEWAYS.flatMap((number) => {
    const gateway = gatewayOf(state, number)
    if (gateway.call !== null) return [{ type: `deliver ${number}` }]
    const events = KEYS.map((key) => ({ type: `call ${number} ${key}` }))
    if (gateway.isCutOff) return [...events, { type: `heal ${number}` }]
    return [...events, { type: `cut ${number}` }, ...(gateway.version < state.storeVersion ? [{ type: `read ${number}` }] : [])]
  })
}

function ownerEvents (state: IKeyState, mutant: string | undefined): readonly ISpecEvent[] {
  const events: ISpecEvent[] = []
  if (state.storeVersion === 1) events.push({ type: 'configure' })
  const mayRead = mutant !== 'next-never-reads' || state.owner === 'a'
  if (state.ownerVersion < state.storeVersion && mayRead) events.push({ type: 'ownerRead' })
  if (state.owner === 'a') events.push({ type: 'takeOver' })
  return events
}

function apply (state: IKeyState, event: ISpecEvent, mutant: string | undefined): void {
  const [verb, number, key] = event.type.split(' ')
  switch (verb) {
    case 'call': return call(state, Number(number), key as Key, mutant)
    case 'deliver': return deliver(state, Number(number), mutant)
    case 'cut': gatewayOf(state, Number(number)).isCutOff = true; return
    case 'heal': case 'read':
      Object.assign(gatewayOf(state, Number(number)), { isCutOff: false, version: state.storeVersion })
      return
    case 'configure': state.storeVersion = 2; return
    case 'ownerRead': state.ownerVersion = state.storeVersion; return
    case 'takeOver':
      state.owner = 'b'
      state.ownerVersion = mutant === 'no-read-at-takeover' || mutant === 'next-never-reads' ? 1 : state.storeVersion
  }
}

export const keySpec: ISpec<IKeyState> = {
  name: 'key',
  properties: {
    inForce: 'an owner with the second version of the configuration doesn\'t accept the removed key',
    notLockedOut: 'a gateway that is cut off doesn\'t refuse the added key',
    noRegress: 'a caller who has seen the second version through a gateway doesn\'t see the first one through it afterwards',
    progress: 'from every state the owner can still get the second version'
  },
  bounds: ['two gateways', 'two versions of the configuration', 'one call at a time through each gateway', 'one takeover'],
  mutants: {
    'trust-gateway': 'inForce',
    'refuse-when-old': 'notLockedOut',
    'no-catch-up': 'noRegress',
    'no-read-at-takeover': 'noRegress',
    'next-never-reads': 'progress'
  },
  initial: createState,
  events: (state, mutant) => [...gatewayEvents(state), ...ownerEvents(state, mutant)],
  apply,
  violatedProperties: (state) => {
    const violated: string[] = []
    if (state.hasAcceptedRemoved) violated.push('inForce')
    if (state.hasRefusedAdded) violated.push('notLockedOut')
    if (state.hasRegressed) violated.push('noRegress')
    return violated
  },
  isGoal: (state) => state.ownerVersion === 2,
  unfairEvents: ['takeOver', 'read 0', 'read 1', 'heal 0', 'heal 1']
}
