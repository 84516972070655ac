/**
 * Ownership of one shard with one host: two processes that are paused, cut off from the store, lose answers and lose
 * their leases. Each process runs the code's own `ShardOwnership` over the code's own chart.
 *
 * The host has room for one task and doesn't count; it only refuses an older epoch. So a second start on it means
 * that two owners decided at once, or that an owner didn't know what ran there.
 */

import { ShardOwnership } from '../src/common/state/ShardOwnership.js'
import { loadChart } from '../src/runtime/ChartLoader.js'

import type { ChartTable } from '../src/common/state/ChartTable.js'
import type { IOwnershipSnapshot, IRecordWrite } from '../src/common/state/ShardOwnership.js'
import type { IShardRecord, WriteOutcome } from '../src/common/state/Types.js'
import type { ISpec, ISpecEvent } from './Model.js'

const NAMES = ['a', 'b'] as const
const MAX_EPOCH = 2
const MAX_FAULTS = 1
const MAX_LAPSES = 1
const SPEC = { shardId: 's', kind: 'workers' } as const
const CHART: ChartTable = loadChart('shardOwnership')._unsafeUnwrap()

type Name = typeof NAMES[number]

interface IProcessState {
  ownership: IOwnershipSnapshot
  /** Whether its member key stands. */
  registered: boolean
  /** A write that it no longer waits for and that may still arrive. */
  stray: IRecordWrite | null
  /** What it believes runs on the host; null before it has listed it. */
  ledger: number | null
}

export interface IOwnershipState {
  record: IShardRecord | null
  modRevision: number
  highestEpoch: number
  processes: Record<Name, IProcessState>
  hostEpoch: number
  hostRunning: number
  /** Start commands on their way to the host. */
  commands: { by: Name, epoch: number }[]
  faults: number
  lapses: number
}

function nobody (): IOwnershipSnapshot {
  return { state: 'absent', record: undefined, modRevision: 0, write: undefined, heldEpoch: 0, fencedEpoch: 0 }
}

function newProcess (): IProcessState {
  return { ownership: nobody(), registered: true, stray: null, ledger: null }
}

function open (name: Name, process: IProcessState): ShardOwnership {
  const nonce = (): string => `${name}${process.ownership.modRevision}`
  return new ShardOwnership(CHART, { processId: name, incarnation: 1 }, SPEC, nonce, process.ownership)
}

/** Runs the code's class on a process's state and keeps what it remembers. */
function act<T> (name: Name, process: IProcessState, run: (ownership: ShardOwnership) => T): T {
  const ownership = open(name, process)
  const result = run(ownership)
  process.ownership = ownership.snapshot()
  if (!ownership.isHeld) process.ledger = null
  return result
}

function canTake (state: IOwnershipState, name: Name, mutant: string | undefined): boolean {
  const process = state.processes[name]
  if (!process.registered) return false
  const ownership = open(name, process)
  if ((ownership.record?.epoch ?? 0) >= MAX_EPOCH || ownership.snapshot().fencedEpoch >= MAX_EPOCH) return false
  if (mutant === 'no-read-back' && ownership.owner?.processId === name) return false
  return ownership.canTake(({ processId }) => state.processes[processId as Name].registered)
}

function swap (state: IOwnershipState, write: IRecordWrite, mutant: string | undefined): { outcome: WriteOutcome, modRevision: number } {
  if (write.expectedModRevision !== state.modRevision && mutant !== 'blind-write') return { outcome: 'conflict', modRevision: 0 }
  state.modRevision += 1
  state.record = write.record
  return { outcome: 'ok', modRevision: state.modRevision }
}

function observe (state: IOwnershipState, name: Name): void {
  act(name, state.processes[name], (ownership) => ownership.observe(state.record ?? undefined, state.modRevision))
}

/** Each write has three ways to go: answered; done, but the answer is lost; unanswered, and it arrives later or never. */
function writeEvents (state: IOwnershipState, type: string): readonly string[] {
  return state.faults < MAX_FAULTS ? [type, `${type}:answerLost`, `${type}:delayed`] : [type]
}

function eventsOf (state: IOwnershipState, name: Name, mutant: string | undefined): readonly string[] {
  const process = state.processes[name]
  const ownership = open(name, process)
  const { state: at } = ownership
  const seesNews = ownership.snapshot().modRevision < state.modRevision
  const types: string[] = []
  if (canTake(state, name, mutant)) types.push(...writeEvents(state, 'take'))
  if (at === 'serving') types.push(...writeEvents(state, 'release'))
  if (ownership.pendingWrite !== undefined) types.push('repeat')
  if (process.stray !== null) types.push('strayArrives')
  if (at === 'confirming' || at === 'releasing') types.push('readBack')
  if (seesNews && !(mutant === 'no-read-back' && at === 'absent')) types.push('watch')
  if (at === 'recovering') types.push('fence')
  if (at === 'serving' || (mutant === 'place-unfenced' && at === 'recovering')) types.push('place')
  if (process.registered && state.lapses < MAX_LAPSES) types.push('lapse')
  if (!process.registered) types.push('register')
  return types
}

function fence (state: IOwnershipState, name: Name, mutant: string | undefined): void {
  const process = state.processes[name]
  act(name, process, (ownership) => {
    if (ownership.epoch < state.hostEpoch) {
      ownership.reportFenced(state.hostEpoch)
      return
    }
    state.hostEpoch = ownership.epoch
    process.ledger = mutant === 'no-listing' ? 0 : state.hostRunning
    ownership.markReady(ownership.epoch)
  })
}

function place (state: IOwnershipState, name: Name): void {
  const process = state.processes[name]
  if ((process.ledger ?? 0) > 0) return
  process.ledger = 1
  state.commands.push({ by: name, epoch: process.ownership.heldEpoch })
}

function deliver (state: IOwnershipState, mutant: string | undefined): void {
  const command = state.commands.shift()
  if (command === undefined) return
  if (command.epoch < state.hostEpoch && mutant !== 'no-fencing') {
    act(command.by, state.processes[command.by], (ownership) => ownership.reportFenced(state.hostEpoch))
    return
  }
  state.hostEpoch = Math.max(state.hostEpoch, command.epoch)
  state.hostRunning += 1
}

const OUTCOME_BY_MUTANT: Readonly<Record<string, WriteOutcome>> = { 'ambiguous-as-success': 'ok', 'no-read-back': 'nothing' }

function write (state: IOwnershipState, name: Name, write: IRecordWrite | undefined, fault: string | undefined, mutant: string | undefined): void {
  const process = state.processes[name]
  if (write === undefined) return
  if (fault === undefined) {
    const { outcome, modRevision } = swap(state, write, mutant)
    const taken = mutant === 'no-read-back' && outcome === 'conflict' ? 'nothing' : outcome
    act(name, process, (ownership) => ownership.reportWrite(write, taken, modRevision))
    return
  }
  state.faults += 1
  if (fault === 'answerLost') swap(state, write, mutant)
  else process.stray = write
  const outcome = OUTCOME_BY_MUTANT[mutant ?? ''] ?? 'ambiguous'
  act(name, process, (ownership) => ownership.reportWrite(write, outcome, write.expectedModRevision + 1))
}

function applyBy (state: IOwnershipState, name: Name, event: string, mutant: string | undefined): void {
  const process = state.processes[name]
  const [type, fault] = event.split(':')
  if (type === 'take') write(state, name, act(name, process, (ownership) => ownership.startTakeover()), fault, mutant)
  if (type === 'release') write(state, name, act(name, process, (ownership) => ownership.startRelease()), fault, mutant)
  if (type === 'repeat') write(state, name, open(name, process).pendingWrite, fault, mutant)
  if (type === 'strayArrives' && process.stray !== null) {
    swap(state, process.stray, mutant)
    process.stray = null
  }
  if (type === 'readBack' || type === 'watch') observe(state, name)
  if (type === 'fence') fence(state, name, mutant)
  if (type === 'place') place(state, name)
  if (type === 'lapse') lapse(state, name, mutant)
  if (type === 'register') process.registered = true
}

function lapse (state: IOwnershipState, name: Name, mutant: string | undefined): void {
  state.lapses += 1
  state.processes[name].registered = false
  if (mutant !== 'record-on-lease' || state.record?.owner !== name) return
  state.record = null
  state.modRevision += 1
}

export const ownershipSpec: ISpec<IOwnershipState> = {
  name: 'ownership',
  properties: {
    capacity: 'a host with room for one task never runs two',
    oneHolder: 'no two processes hold the shard under the same epoch',
    epochRises: 'the epoch on record never goes back',
    progress: 'from every state a process can come to serve the shard, as the record says'
  },
  bounds: [
    '2 processes, 1 shard, 1 host', `epochs up to ${MAX_EPOCH}`, `${MAX_FAULTS} lost answers or delayed requests`, `${MAX_LAPSES} lapsed leases`,
    'a pause is any delay of a process\'s next step'
  ],
  mutants: {
    'no-fencing': 'capacity',
    'no-listing': 'capacity',
    'place-unfenced': 'capacity',
    'ambiguous-as-success': 'oneHolder',
    'blind-write': 'oneHolder',
    'record-on-lease': 'epochRises',
    'no-read-back': 'progress'
  },
  initial: () => ({
    record: null,
    modRevision: 0,
    highestEpoch: 0,
    processes: { a: newProcess(), b: newProcess() },
    hostEpoch: 0,
    hostRunning: 0,
    commands: [],
    faults: 0,
    lapses: 0
  }),
  events: (state, mutant) => [
    ...NAMES.flatMap((name) => eventsOf(state, name, mutant).map((type): ISpecEvent => ({ type, by: name }))),
    ...(state.commands.length > 0 ? [{ type: 'hostGets' }] : [])
  ],
  apply: (state, event, mutant) => {
    if (event.type === 'hostGets') deliver(state, mutant)
    else applyBy(state, event.by as Name, event.type, mutant)
    if ((state.record?.epoch ?? 0) >= state.highestEpoch) state.highestEpoch = state.record?.epoch ?? 0
  },
  broken: (state) => {
    const [left, right] = NAMES.map((name) => state.processes[name].ownership)
    const sameEpoch = left?.heldEpoch !== 0 && left?.heldEpoch === right?.heldEpoch
    const epochFell = (state.record?.epoch ?? state.highestEpoch) < state.highestEpoch
    return [
      ...(state.hostRunning > 1 ? ['capacity'] : []),
      ...(epochFell ? ['epochRises'] : []),
      ...(sameEpoch ? ['oneHolder'] : [])
    ]
  },
  goal: (state) => (state.record?.epoch ?? 0) >= MAX_EPOCH || NAMES.some((name) => {
    const { ownership } = state.processes[name]
    return ownership.state === 'serving' && state.record?.owner === name && state.record.epoch === ownership.heldEpoch
  })
}
