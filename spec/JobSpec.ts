/**
 * Which owner starts the next attempt of a job's task. The job's id shard has two owners, one after the other, and two
 * schedulers own their hosts throughout. The schedulers run the real `JobFence`.
 *
 * A command may arrive late, or its answer may be lost. The first owner may be paused at any step and does not know that
 * it was superseded. A task ends by itself, and its owner then starts the next attempt at either scheduler.
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
  /** The schedulers that have accepted the owner's epoch and have listed their running tasks. */
  fencedSchedulers: SchedulerName[]
  /** The task's state as the owner knows it; `idle` means that the task runs nowhere. */
  task: 'unread' | 'idle' | 'asked' | 'running'
  /** The current attempt. */
  attempt: number
  /** The scheduler that was asked to start the current attempt. */
  placedAt: SchedulerName | null
}

interface ISchedulerState {
  jobFence: IJobFenceSnapshot
  isRunning: boolean
}

interface ICommand {
  readonly sender: OwnerName
  readonly scheduler: SchedulerName
  readonly attempt: number
  /** Whether the sender has stopped waiting for the answer, so that it may send the command again. */
  readonly isStray: boolean
}

export interface IJobState {
  owners: Record<OwnerName, IOwnerState>
  schedulers: Record<SchedulerName, ISchedulerState>
  commands: ICommand[]
  ends: number
  faults: number
}

function withJobFence<T> (scheduler: ISchedulerState, run: (jobFence: JobFence) => T): T {
  const jobFence = new JobFence(scheduler.jobFence)
  const result = run(jobFence)
  scheduler.jobFence = jobFence.snapshot()
  return result
}

function sendPlace (state: IJobState, sender: OwnerName, scheduler: SchedulerName): void {
  const owner = state.owners[sender]
  if (owner.task === 'idle') owner.attempt = Math.max(owner.attempt + 1, firstAttempt(owner.epoch))
  owner.task = 'asked'
  owner.placedAt = scheduler
  state.commands.push({ sender, scheduler, attempt: owner.attempt, isStray: false })
}

function mayStart (state: IJobState, command: ICommand, mutant: string | undefined): boolean {
  const { sender: owner, scheduler, attempt } = command
  const { epoch } = state.owners[owner]
  const decision = withJobFence(state.schedulers[scheduler], (jobFence) => jobFence.decide({ idShard: ID_SHARD, epoch, owner, task: TASK, attempt }))
  if (decision === 'superseded') return mutant === 'no-job-fence'
  return decision === 'start' || (decision !== 'busy' && mutant === 'no-attempt-memory')
}

function deliverCommand (state: IJobState, index: number, isAnswered: boolean, mutant: string | undefined): void {
  const command = state.commands.splice(index, 1)[0]
  if (command === undefined) return
  const scheduler = state.schedulers[command.scheduler]
  const owner = state.owners[command.sender]
  if (mayStart(state, command, mutant)) {
    scheduler.isRunning = true
    withJobFence(scheduler, (jobFence) => { jobFence.recordHeld(TASK, command.attempt) })
  }
  const isCurrent = !command.isStray && owner.attempt === command.attempt && scheduler.jobFence.owners[ID_SHARD]?.epoch === owner.epoch
  if (isAnswered && isCurrent) applyAnswer(owner, scheduler.isRunning ? 'running' : 'idle')
}

function applyAnswer (owner: IOwnerState, task: 'running' | 'idle'): void {
  if (owner.task === 'asked' || owner.task === 'running') owner.task = task
}

function deliverWithoutAnswer (state: IJobState, index: number, mutant: string | undefined): void {
  const owner = state.commands[index]?.sender
  state.faults += 1
  deliverCommand(state, index, false, mutant)
  if (owner !== undefined && mutant === 'lost-is-refused') state.owners[owner].task = 'idle'
}

function delayCommand (state: IJobState, index: number): void {
  state.faults += 1
  state.commands = state.commands.map((command, at) => at === index ? { ...command, isStray: true } : command)
}

/** The task ends, and the scheduler reports this to the owner with the latest epoch that it has accepted. */
function endTask (state: IJobState, name: SchedulerName): void {
  const scheduler = state.schedulers[name]
  state.ends += 1
  scheduler.isRunning = false
  const owner = withJobFence(scheduler, (jobFence) => {
    jobFence.recordGone(TASK, jobFence.heldAttempt(TASK) ?? 0)
    return jobFence.ownerOf(ID_SHARD) as OwnerName
  })
  if (state.owners[owner].placedAt === name) applyAnswer(state.owners[owner], 'idle')
}

function fenceScheduler (state: IJobState, name: SchedulerName, mutant: string | undefined): void {
  const owner = state.owners.j2
  const scheduler = state.schedulers[name]
  withJobFence(scheduler, (jobFence) => jobFence.accept(ID_SHARD, owner.epoch, 'j2'))
  owner.fencedSchedulers.push(name)
  const held = withJobFence(scheduler, (jobFence) => jobFence.heldAttempt(TASK))
  if (held !== undefined) {
    owner.task = 'running'
    owner.attempt = held
    owner.placedAt = name
  }
  const requiredCount = mutant === 'not-all-asked' ? 1 : SCHEDULERS.length
  if (owner.fencedSchedulers.length >= requiredCount && owner.task === 'unread') owner.task = 'idle'
}

function ownerEvents (state: IJobState, name: OwnerName): readonly string[] {
  const owner = state.owners[name]
  const types: string[] = []
  if (owner.task === 'idle') types.push(...SCHEDULERS.map((to) => `place@${to}`))
  const isWaiting = state.commands.some((command) => command.sender === name && !command.isStray)
  if (owner.task === 'asked' && !isWaiting && owner.placedAt !== null) types.push(`place@${owner.placedAt}`)
  if (name === 'j2') types.push(...SCHEDULERS.filter((to) => !owner.fencedSchedulers.includes(to)).map((to) => `fence@${to}`))
  return types
}

function newScheduler (): ISchedulerState {
  return { jobFence: { owners: {}, tasks: {} }, isRunning: false }
}

export const jobSpec: ISpec<IJobState> = {
  name: 'jobs',
  properties: {
    onePlace: 'a task never runs at two schedulers at once',
    progress: 'from every state the task can still start to run'
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
      j1: { epoch: 1, fencedSchedulers: [...SCHEDULERS], task: 'idle', attempt: 0, placedAt: null },
      j2: { epoch: 2, fencedSchedulers: [], task: 'unread', attempt: 0, placedAt: null }
    },
    schedulers: { s1: newScheduler(), s2: newScheduler() },
    commands: [],
    ends: 0,
    faults: 0
  }),
  events: (state, mutant) => [
    ...OWNERS.flatMap((name) => ownerEvents(state, name).map((type): ISpecEvent => ({ type, by: name })))
      .filter(({ type, by }) => mutant !== 'no-takeover' || by === 'j1' || type === 'fence@s1'),
    ...state.commands.flatMap(({ sender, scheduler, isStray }, index): readonly ISpecEvent[] => {
      const name = `${index}: ${sender} to ${scheduler}`
      const faults = isStray || state.faults >= MAX_FAULTS ? [] : [{ type: 'answer lost', by: name }, { type: 'late', by: name }]
      return [{ type: 'arrives', by: name }, ...faults]
    }),
    ...SCHEDULERS.filter((name) => state.schedulers[name].isRunning && state.ends < MAX_ENDS).map((by) => ({ type: 'ends', by }))
  ],
  apply: (state, event, mutant) => {
    const [type, scheduler] = event.type.split('@')
    if (type === 'place') sendPlace(state, event.by as OwnerName, scheduler as SchedulerName)
    if (type === 'fence') fenceScheduler(state, scheduler as SchedulerName, mutant)
    if (type === 'ends') endTask(state, event.by as SchedulerName)
    if (type === 'arrives') deliverCommand(state, Number.parseInt(event.by ?? ''), true, mutant)
    if (type === 'late') delayCommand(state, Number.parseInt(event.by ?? ''))
    if (type === 'answer lost') deliverWithoutAnswer(state, Number.parseInt(event.by ?? ''), mutant)
    state.commands.sort((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1)
  },
  violatedProperties: (state) => SCHEDULERS.every((name) => state.schedulers[name].isRunning) ? ['onePlace'] : [],
  isGoal: (state) => SCHEDULERS.some((name) => state.schedulers[name].isRunning)
}
