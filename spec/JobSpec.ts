/**
 * Who starts the next attempt of a job's task: two owners of the job's id shard, one after the other, and two
 * schedulers that own their hosts throughout. The schedulers run the code's own `JobFence`.
 *
 * A command arrives late or its answer is lost; the first owner may be paused at any step and doesn't know that it
 * was superseded. A task ends by itself, and its owner then starts the next attempt wherever it likes.
 */

import { JobFence } from '../src/common/state/JobFence.js'
import { firstAttempt } from '../src/scheduler/jobs/TaskIds.js'

import type { IJobFenceSnapshot } from '../src/common/state/JobFence.js'
import type { ISpec, ISpecEvent } from './Model.js'

const OWNERS = ['j1', 'j2'] as const
const SCHEDULERS = ['s1', 's2'] as const
const ID_SHARD = 'ids/00'
const TASK = 't'
const MAX_ENDS = 2
const MAX_FAULTS = 2

type OwnerName = typeof OWNERS[number]
type SchedulerName = typeof SCHEDULERS[number]

interface IOwnerState {
  readonly epoch: number
  /** Schedulers that have its epoch and have listed what they run. */
  fenced: SchedulerName[]
  /** `idle`: the task runs nowhere, as far as it knows. */
  task: 'unread' | 'idle' | 'asked' | 'running'
  /** The present attempt, and where it asked for it. */
  attempt: number
  at: SchedulerName | null
}

interface ISchedulerState {
  guard: IJobFenceSnapshot
  running: boolean
}

interface ICommand {
  readonly by: OwnerName
  readonly to: SchedulerName
  readonly attempt: number
  /** Its sender no longer waits for it, and may send it again. */
  readonly stray: boolean
}

export interface IJobState {
  owners: Record<OwnerName, IOwnerState>
  schedulers: Record<SchedulerName, ISchedulerState>
  commands: ICommand[]
  ends: number
  faults: number
}

function guarded<T> (scheduler: ISchedulerState, run: (guard: JobFence) => T): T {
  const guard = new JobFence(scheduler.guard)
  const result = run(guard)
  scheduler.guard = guard.snapshot()
  return result
}

function place (state: IJobState, by: OwnerName, to: SchedulerName): void {
  const owner = state.owners[by]
  if (owner.task === 'idle') owner.attempt = Math.max(owner.attempt + 1, firstAttempt(owner.epoch))
  owner.task = 'asked'
  owner.at = to
  state.commands.push({ by, to, attempt: owner.attempt, stray: false })
}

function mayStart (state: IJobState, command: ICommand, mutant: string | undefined): boolean {
  const { by: owner, to, attempt } = command
  const { epoch } = state.owners[owner]
  const decided = guarded(state.schedulers[to], (guard) => guard.decide({ idShard: ID_SHARD, epoch, owner, task: TASK, attempt }))
  if (decided === 'superseded') return mutant === 'no-job-fence'
  return decided === 'start' || (decided !== 'busy' && mutant === 'no-attempt-memory')
}

function arrive (state: IJobState, index: number, answered: boolean, mutant: string | undefined): void {
  const command = state.commands.splice(index, 1)[0]
  if (command === undefined) return
  const scheduler = state.schedulers[command.to]
  const owner = state.owners[command.by]
  if (mayStart(state, command, mutant)) {
    scheduler.running = true
    guarded(scheduler, (guard) => { guard.recordHeld(TASK, command.attempt) })
  }
  const present = !command.stray && owner.attempt === command.attempt && scheduler.guard.owners[ID_SHARD]?.epoch === owner.epoch
  if (answered && present) hear(owner, scheduler.running ? 'running' : 'idle')
}

function hear (owner: IOwnerState, task: 'running' | 'idle'): void {
  if (owner.task === 'asked' || owner.task === 'running') owner.task = task
}

function loseAnswer (state: IJobState, index: number, mutant: string | undefined): void {
  const owner = state.commands[index]?.by
  state.faults += 1
  arrive(state, index, false, mutant)
  if (owner !== undefined && mutant === 'lost-is-refused') state.owners[owner].task = 'idle'
}

function leave (state: IJobState, index: number): void {
  state.faults += 1
  state.commands = state.commands.map((command, at) => at === index ? { ...command, stray: true } : command)
}

/** The end is told to the owner that the scheduler has heard of last. */
function end (state: IJobState, name: SchedulerName): void {
  const scheduler = state.schedulers[name]
  state.ends += 1
  scheduler.running = false
  const owner = guarded(scheduler, (guard) => {
    guard.recordGone(TASK, guard.heldAttempt(TASK) ?? 0)
    return guard.ownerOf(ID_SHARD) as OwnerName
  })
  if (state.owners[owner].at === name) hear(state.owners[owner], 'idle')
}

function fence (state: IJobState, name: SchedulerName, mutant: string | undefined): void {
  const owner = state.owners.j2
  const scheduler = state.schedulers[name]
  guarded(scheduler, (guard) => guard.accept(ID_SHARD, owner.epoch, 'j2'))
  owner.fenced.push(name)
  const held = guarded(scheduler, (guard) => guard.heldAttempt(TASK))
  if (held !== undefined) {
    owner.task = 'running'
    owner.attempt = held
    owner.at = name
  }
  const enough = mutant === 'not-all-asked' ? 1 : SCHEDULERS.length
  if (owner.fenced.length >= enough && owner.task === 'unread') owner.task = 'idle'
}

function ownerEvents (state: IJobState, name: OwnerName): readonly string[] {
  const owner = state.owners[name]
  const types: string[] = []
  if (owner.task === 'idle') types.push(...SCHEDULERS.map((to) => `place@${to}`))
  const waits = state.commands.some((command) => command.by === name && !command.stray)
  if (owner.task === 'asked' && !waits && owner.at !== null) types.push(`place@${owner.at}`)
  if (name === 'j2') types.push(...SCHEDULERS.filter((to) => !owner.fenced.includes(to)).map((to) => `fence@${to}`))
  return types
}

function newScheduler (): ISchedulerState {
  return { guard: { owners: {}, tasks: {} }, running: false }
}

export const jobSpec: ISpec<IJobState> = {
  name: 'jobs',
  properties: {
    onePlace: 'a task never runs at two schedulers at once',
    progress: 'from every state the task can still come to run'
  },
  bounds: ['1 task, 2 owners of its job, 2 schedulers', `${MAX_ENDS} ends of an attempt`, `${MAX_FAULTS} lost answers or commands that are sent again while the first is on its way`],
  mutants: {
    'no-job-fence': 'onePlace',
    'not-all-asked': 'onePlace',
    'lost-is-refused': 'onePlace',
    'no-attempt-memory': 'onePlace',
    'no-takeover': 'progress'
  },
  initial: () => ({
    owners: {
      j1: { epoch: 1, fenced: [...SCHEDULERS], task: 'idle', attempt: 0, at: null },
      j2: { epoch: 2, fenced: [], task: 'unread', attempt: 0, at: null }
    },
    schedulers: { s1: newScheduler(), s2: newScheduler() },
    commands: [],
    ends: 0,
    faults: 0
  }),
  events: (state, mutant) => [
    ...OWNERS.flatMap((name) => ownerEvents(state, name).map((type): ISpecEvent => ({ type, by: name })))
      .filter(({ type, by }) => mutant !== 'no-takeover' || by === 'j1' || type === 'fence@s1'),
    ...state.commands.flatMap(({ by, to, stray }, index): readonly ISpecEvent[] => {
      const name = `${index}: ${by} to ${to}`
      const faults = stray || state.faults >= MAX_FAULTS ? [] : [{ type: 'answer lost', by: name }, { type: 'late', by: name }]
      return [{ type: 'arrives', by: name }, ...faults]
    }),
    ...SCHEDULERS.filter((name) => state.schedulers[name].running && state.ends < MAX_ENDS).map((by) => ({ type: 'ends', by }))
  ],
  apply: (state, event, mutant) => {
    const [type, scheduler] = event.type.split('@')
    if (type === 'place') place(state, event.by as OwnerName, scheduler as SchedulerName)
    if (type === 'fence') fence(state, scheduler as SchedulerName, mutant)
    if (type === 'ends') end(state, event.by as SchedulerName)
    if (type === 'arrives') arrive(state, Number.parseInt(event.by ?? ''), true, mutant)
    if (type === 'late') leave(state, Number.parseInt(event.by ?? ''))
    if (type === 'answer lost') loseAnswer(state, Number.parseInt(event.by ?? ''), mutant)
    state.commands.sort((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1)
  },
  broken: (state) => SCHEDULERS.every((name) => state.schedulers[name].running) ? ['onePlace'] : [],
  goal: (state) => SCHEDULERS.some((name) => state.schedulers[name].running)
}
