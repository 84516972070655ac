/**
 * A start order without a ticket, a host that restarts under its id, and owners that take turns. The specification defines what the owners may
 * conclude while the order may still be carried out, as in `src/common/cell/OpenStarts.ts`. Times are in ticks.
 *
 * Faults: an order is carried out at any time within its delay, by whatever incarnation of the host is there by then, also while the host is cut
 * off; the host restarts and is cut off; the owner is replaced. The run outlasts all delays.
 */

import type { ISpec, ISpecEvent } from './Model.js'

/** For how long an order may be under way, and a lease lasts without being extended. */
const DELAY_TICKS = 3
const LEASE_TICKS = 1
/** How much too long the time in the record may be. */
const LAG_TICKS = 1
const MAX_RESTARTS = 2
const MAX_CHANGES = 2
const MAX_ORDERS = 2

interface IOrder {
  readonly run: number
  readonly fence: number
  delayTicks: number
}

interface IHost {
  incarnation: number
  fence: number
  run: number
  leaseTicks: number
  isCutOff: boolean
}

interface IOwner {
  fence: number
  run: number
  /** For how long an order of the run may still be carried out, as far as the owner knows. */
  openTicks: number
  isOnlyOrder: boolean
  /** The incarnation that has answered, and whether it has done so under the present token. */
  incarnation: number
  isFenced: boolean
  isRunning: boolean
  /** Whether the run is about to be ordered again. The record covers that order. */
  isAwaitingRecord: boolean
  /** How long the host has to be silent until all its leases have ended. */
  silentTicks: number
}

export interface IOpenStartState {
  host: IHost
  /** The run on another host; 0 if there is none. */
  runElsewhere: number
  orders: IOrder[]
  orderCount: number
  ticksSinceOrder: number
  recordedOpenTicks: number
  owner: IOwner
  changes: number
}

function createState (): IOpenStartState {
  return {
    host: { incarnation: 0, fence: 1, run: 0, leaseTicks: 0, isCutOff: false },
    runElsewhere: 0,
    orders: [{ run: 1, fence: 1, delayTicks: DELAY_TICKS }],
    orderCount: 1,
    ticksSinceOrder: 0,
    recordedOpenTicks: DELAY_TICKS,
    owner: {
      fence: 1,
      run: 1,
      openTicks: DELAY_TICKS,
      isOnlyOrder: true,
      incarnation: 0,
      isFenced: true,
      isRunning: false,
      isAwaitingRecord: false,
      silentTicks: LEASE_TICKS + 1
    },
    changes: 0
  }
}

function isRecordOutdated ({ recordedOpenTicks, owner }: IOpenStartState): boolean {
  return !owner.isAwaitingRecord && recordedOpenTicks - owner.openTicks >= LAG_TICKS
}

function advance (state: IOpenStartState, mutant: string | undefined): void {
  const { host, owner } = state
  state.orders = state.orders.map((order) => ({ ...order, delayTicks: order.delayTicks - 1 })).filter(({ delayTicks }) => delayTicks > 0)
  state.ticksSinceOrder = Math.min(state.ticksSinceOrder + 1, DELAY_TICKS * 3)
  if (host.isCutOff) {
    host.leaseTicks = Math.max(0, host.leaseTicks - 1)
    if (host.leaseTicks === 0) host.run = 0
    // A lease may begin as long as an order may arrive.
    if (owner.openTicks === 0 || mutant === 'silent-by-lease') owner.silentTicks = Math.max(0, owner.silentTicks - 1)
  }
  owner.openTicks = Math.max(0, owner.openTicks - 1)
}

function arrive ({ host, orders }: IOpenStartState, index: number): void {
  const [order] = orders.splice(index, 1)
  if (order === undefined || order.fence < host.fence) return
  host.fence = order.fence
  host.run = order.run
  host.leaseTicks = LEASE_TICKS
}

function sendAgain (state: IOpenStartState): void {
  const { owner } = state
  state.orders.push({ run: owner.run, fence: owner.fence, delayTicks: DELAY_TICKS })
  state.orderCount += 1
  state.ticksSinceOrder = 0
  owner.openTicks = DELAY_TICKS
  owner.isOnlyOrder = false
  owner.isAwaitingRecord = false
}

function startElsewhere (state: IOpenStartState): void {
  state.owner.run += 1
  state.runElsewhere = state.owner.run
}

/** The owner reads the host's list under its token, which extends the lease. */
function list (state: IOpenStartState, mutant: string | undefined): void {
  const { host, owner } = state
  if (owner.incarnation !== host.incarnation) {
    owner.incarnation = host.incarnation
    owner.isFenced = false
    owner.isRunning = false
    owner.fence += 1
    return
  }
  host.fence = owner.fence
  host.leaseTicks = LEASE_TICKS
  owner.silentTicks = LEASE_TICKS + 1
  owner.isFenced = true
  owner.isRunning = host.run === owner.run
  if (owner.isRunning) {
    owner.isAwaitingRecord = false
    if (owner.isOnlyOrder || mutant === 'settled-by-any-list') owner.openTicks = 0
    return
  }
  if (owner.openTicks === 0 || mutant === 'not-waited') return startElsewhere(state)
  if (state.orderCount === MAX_ORDERS) return
  owner.isAwaitingRecord = true
  state.ticksSinceOrder = 0
  if (mutant !== 'copy-not-recorded') state.recordedOpenTicks = DELAY_TICKS
}

function changeOwner (state: IOpenStartState, mutant: string | undefined): void {
  state.changes += 1
  const openTicks = mutant === 'not-recorded' ? 0 : state.recordedOpenTicks
  state.owner = {
    fence: (state.changes + 1) * 10,
    run: state.owner.run,
    openTicks,
    // The record doesn't say how many orders were sent.
    isOnlyOrder: false,
    incarnation: -1,
    isFenced: false,
    isRunning: false,
    isAwaitingRecord: false,
    silentTicks: LEASE_TICKS + 1
  }
}

function events (state: IOpenStartState, mutant: string | undefined): readonly ISpecEvent[] {
  const { host, owner } = state
  if (state.runElsewhere > 0 && state.orders.length === 0) return []
  const types = state.orders.map((_, index) => `arrive ${index}`)
  const isDue = mutant !== 'not-corrected' && isRecordOutdated(state)
  if (owner.isAwaitingRecord) types.push('send again')
  else types.push(isDue ? 'correct' : 'tick')
  if (host.incarnation < MAX_RESTARTS) types.push('restart')
  types.push(host.isCutOff ? 'heal' : 'cut off')
  if (state.changes < MAX_CHANGES) types.push('change')
  if (state.runElsewhere > 0) return types.map((type) => ({ type }))
  if (!host.isCutOff) types.push('list')
  const isOpen = owner.openTicks > 0 && mutant !== 'silent-by-lease'
  if (host.isCutOff && owner.silentTicks === 0 && !isOpen && mutant !== 'waits-for-host') types.push('give up')
  return types.map((type) => ({ type }))
}

function apply (state: IOpenStartState, { type }: ISpecEvent, mutant: string | undefined): void {
  const { host } = state
  const [verb, index] = type.split(' ')
  switch (verb) {
    case 'arrive': return arrive(state, Number(index))
    case 'tick': return advance(state, mutant)
    case 'correct': state.recordedOpenTicks = state.owner.openTicks; return
    case 'restart': Object.assign(host, { incarnation: host.incarnation + 1, fence: 0, run: 0, leaseTicks: 0 }); return
    case 'cut': host.isCutOff = true; return
    case 'heal': host.isCutOff = false; return
    case 'change': return changeOwner(state, mutant)
    case 'list': return list(state, mutant)
    case 'send': return sendAgain(state)
    case 'give': startElsewhere(state)
  }
}

export const openStartSpec: ISpec<IOpenStartState> = {
  name: 'openStart',
  properties: {
    onePlace: 'the task never runs on two hosts at once',
    notAnew: 'no owner waits for an order much longer than it may be under way, however many owners there were',
    progress: 'from every state the task can run again, also if the host stays cut off'
  },
  bounds: ['one task', 'two orders', 'two restarts', 'two changes of the owner', 'a delay of three ticks'],
  mutants: {
    'not-recorded': 'onePlace',
    'not-waited': 'onePlace',
    'silent-by-lease': 'onePlace',
    'settled-by-any-list': 'onePlace',
    'copy-not-recorded': 'onePlace',
    'not-corrected': 'notAnew',
    'waits-for-host': 'progress'
  },
  initial: createState,
  events,
  apply,
  violatedProperties: ({ host, runElsewhere, owner, ticksSinceOrder, changes }) => {
    const violated: string[] = []
    if (host.run > 0 && runElsewhere > 0) violated.push('onePlace')
    if (owner.openTicks > 0 && owner.openTicks + ticksSinceOrder > DELAY_TICKS + LAG_TICKS * changes) violated.push('notAnew')
    return violated
  },
  isGoal: ({ host, runElsewhere, owner }) => runElsewhere > 0 || (owner.isRunning && !host.isCutOff),
  unfairEvents: ['arrive 0', 'arrive 1', 'heal', 'change', 'restart']
}
