/**
 * Ownership of one shard with one host. Two processes may be paused, cut off from the store, lose answers and lose their
 * leases. Each process runs the real `ShardOwnership` with the real statechart.
 *
 * The host has capacity for one task but does not check it; it only refuses an older epoch. So a second start on the host
 * means that two owners made decisions at the same time, or that an owner did not know the host's running tasks.
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
  /** Whether the process's member key exists in the store. */
  isRegistered: boolean
  /** A write that the process no longer waits for and that may still arrive. */
  strayWrite: IRecordWrite | null
  /** The number of tasks on the host, as the process knows it; null before the process has listed them. */
  knownRunning: number | null
}

export interface IOwnershipState {
  record: IShardRecord | null
  modRevision: number
  highestEpoch: number
  processes: Record<Name, IProcessState>
  hostEpoch: number
  runningTasks: number
  /** Start commands in flight to the host. */
  commands: { sender: Name, epoch: number }[]
  faults: number
  lapses: number
}

function emptyOwnership (): IOwnershipSnapshot {
  return { state: 'absent', record: undefined, modRevision: 0, write: undefined, heldEpoch: 0, fencedEpoch: 0 }
}

function newProcess (): IProcessState {
  return { ownership: emptyOwnership(), isRegistered: true, strayWrite: null, knownRunning: null }
}

function openOwnership (name: Name, process: IProcessState): ShardOwnership {
  const nonce = (): string => `${name}${process.ownership.modRevision}`
  return new ShardOwnership(CHART, { processId: name, incarnation: 1 }, SPEC, nonce, process.ownership)
}

/** Runs the real class on a process's state and stores its new snapshot. */
function withOwnership<T> (name: Name, process: IProcessState, run: (ownership: ShardOwnership) => T): T {
  const ownership = openOwnership(name, process)
  const result = run(ownership)
  process.ownership = ownership.snapshot()
  if (!ownership.isHeld) process.knownRunning = null
  return result
}

function canTakeOver (state: IOwnershipState, name: Name, mutant: string | undefined): boolean {
  const process = state.processes[name]
  if (!process.isRegistered) return false
  const ownership = openOwnership(name, process)
  if ((ownership.record?.epoch ?? 0) >= MAX_EPOCH || ownership.snapshot().fencedEpoch >= MAX_EPOCH) return false
  if (mutant === 'no-read-back' && ownership.owner?.processId === name) return false
  return ownership.canTakeOver(({ processId }) => state.processes[processId as Name].isRegistered)
}

function swapRecord (state: IOwnershipState, write: IRecordWrite, mutant: string | undefined): { outcome: WriteOutcome, modRevision: number } {
  if (write.expectedModRevision !== state.modRevision && mutant !== 'blind-write') return { outcome: 'conflict', modRevision: 0 }
  state.modRevision += 1
  state.record = write.record
  return { outcome: 'ok', modRevision: state.modRevision }
}

function observeRecord (state: IOwnershipState, name: Name): void {
  withOwnership(name, state.processes[name], (ownership) => ownership.observe(state.record ?? undefined, state.modRevision))
}

/** Each write has three outcomes: it is answered; it is executed, but the answer is lost; or it is unanswered and arrives later or never. */
function writeEvents (state: IOwnershipState, type: string): readonly string[] {
  return state.faults < MAX_FAULTS ? [type, `${type}:answerLost`, `${type}:delayed`] : [type]
}

function eventsOf (state: IOwnershipState, name: Name, mutant: string | undefined): readonly string[] {
  const process = state.processes[name]
  const ownership = openOwnership(name, process)
  const { state: phase } = ownership
  const isRecordNewer = ownership.snapshot().modRevision < state.modRevision
  const types: string[] = []
  if (canTakeOver(state, name, mutant)) types.push(...writeEvents(state, 'take'))
  if (phase === 'serving') types.push(...writeEvents(state, 'release'))
  if (ownership.pendingWrite !== undefined) types.push('repeat')
  if (process.strayWrite !== null) types.push('strayArrives')
  if (phase === 'confirming' || phase === 'releasing') types.push('readBack')
  if (isRecordNewer && !(mutant === 'no-read-back' && phase === 'absent')) types.push('watch')
  if (phase === 'recovering') types.push('fence')
  if (phase === 'serving' || (mutant === 'place-unfenced' && phase === 'recovering')) types.push('place')
  if (process.isRegistered && state.lapses < MAX_LAPSES) types.push('lapse')
  if (!process.isRegistered) types.push('register')
  return types
}

function fenceHost (state: IOwnershipState, name: Name, mutant: string | undefined): void {
  const process = state.processes[name]
  withOwnership(name, process, (ownership) => {
    if (ownership.epoch < state.hostEpoch) {
      ownership.reportFenced(state.hostEpoch)
      return
    }
    state.hostEpoch = ownership.epoch
    process.knownRunning = mutant === 'no-listing' ? 0 : state.runningTasks
    ownership.markReady(ownership.epoch)
  })
}

function sendStart (state: IOwnershipState, name: Name): void {
  const process = state.processes[name]
  if ((process.knownRunning ?? 0) > 0) return
  process.knownRunning = 1
  state.commands.push({ sender: name, epoch: process.ownership.heldEpoch })
}

function deliverCommand (state: IOwnershipState, mutant: string | undefined): void {
  const command = state.commands.shift()
  if (command === undefined) return
  if (command.epoch < state.hostEpoch && mutant !== 'no-fencing') {
    withOwnership(command.sender, state.processes[command.sender], (ownership) => ownership.reportFenced(state.hostEpoch))
    return
  }
  state.hostEpoch = Math.max(state.hostEpoch, command.epoch)
  state.runningTasks += 1
}

const OUTCOME_BY_MUTANT: Readonly<Record<string, WriteOutcome>> = { 'ambiguous-as-success': 'ok', 'no-read-back': 'nothing' }

function sendWrite (
  state: IOwnershipState, name: Name, write: IRecordWrite | undefined, fault: string | undefined, mutant: string | undefined
): void {
  const process = state.processes[name]
  if (write === undefined) return
  if (fault === undefined) {
    const { outcome, modRevision } = swapRecord(state, write, mutant)
    const reported = mutant === 'no-read-back' && outcome === 'conflict' ? 'nothing' : outcome
    withOwnership(name, process, (ownership) => ownership.reportWrite(write, reported, modRevision))
    return
  }
  state.faults += 1
  if (fault === 'answerLost') swapRecord(state, write, mutant)
  else process.strayWrite = write
  const outcome = OUTCOME_BY_MUTANT[mutant ?? ''] ?? 'ambiguous'
  withOwnership(name, process, (ownership) => ownership.reportWrite(write, outcome, write.expectedModRevision + 1))
}

function applyProcess (state: IOwnershipState, name: Name, event: string, mutant: string | undefined): void {
  const process = state.processes[name]
  const [type, fault] = event.split(':')
  if (type === 'take') sendWrite(state, name, withOwnership(name, process, (ownership) => ownership.startTakeover()), fault, mutant)
  if (type === 'release') sendWrite(state, name, withOwnership(name, process, (ownership) => ownership.startRelease()), fault, mutant)
  if (type === 'repeat') sendWrite(state, name, openOwnership(name, process).pendingWrite, fault, mutant)
  if (type === 'strayArrives' && process.strayWrite !== null) {
    swapRecord(state, process.strayWrite, mutant)
    process.strayWrite = null
  }
  if (type === 'readBack' || type === 'watch') observeRecord(state, name)
  if (type === 'fence') fenceHost(state, name, mutant)
  if (type === 'place') sendStart(state, name)
  if (type === 'lapse') lapseLease(state, name, mutant)
  if (type === 'register') process.isRegistered = true
}

function lapseLease (state: IOwnershipState, name: Name, mutant: string | undefined): void {
  state.lapses += 1
  state.processes[name].isRegistered = false
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
    runningTasks: 0,
    commands: [],
    faults: 0,
    lapses: 0
  }),
  events: (state, mutant) => [
    ...NAMES.flatMap((name) => eventsOf(state, name, mutant).map((type): ISpecEvent => ({ type, by: name }))),
    ...(state.commands.length > 0 ? [{ type: 'hostGets' }] : [])
  ],
  apply: (state, event, mutant) => {
    if (event.type === 'hostGets') deliverCommand(state, mutant)
    else applyProcess(state, event.by as Name, event.type, mutant)
    if ((state.record?.epoch ?? 0) >= state.highestEpoch) state.highestEpoch = state.record?.epoch ?? 0
  },
  violatedProperties: (state) => {
    const [left, right] = NAMES.map((name) => state.processes[name].ownership)
    const isEpochShared = left?.heldEpoch !== 0 && left?.heldEpoch === right?.heldEpoch
    const hasEpochFallen = (state.record?.epoch ?? state.highestEpoch) < state.highestEpoch
    return [
      ...(state.runningTasks > 1 ? ['capacity'] : []),
      ...(hasEpochFallen ? ['epochRises'] : []),
      ...(isEpochShared ? ['oneHolder'] : [])
    ]
  },
  isGoal: (state) => (state.record?.epoch ?? 0) >= MAX_EPOCH || NAMES.some((name) => {
    const { ownership } = state.processes[name]
    return ownership.state === 'serving' && state.record?.owner === name && state.record.epoch === ownership.heldEpoch
  })
}
