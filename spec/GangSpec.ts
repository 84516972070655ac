/**
 * Two all-at-once jobs of two tasks each, over two schedulers with one free place each: only one of the jobs can run
 * at a time. The real `GangReservation` drives each try of a job, and the schedulers run the real `TryFence`.
 *
 * Commands and answers may be lost, commands may arrive late, even after the next try has begun, and reservations may
 * expire. A scheduler may lose its places once, as it does when it dies and another scheduler takes over its hosts.
 */

import { GangReservation } from '../src/common/state/GangReservation.js'
import { TryFence } from '../src/common/state/TryFence.js'

import type { GangCommand, IGangSnapshot } from '../src/common/state/GangReservation.js'
import type { ITryFenceSnapshot } from '../src/common/state/TryFence.js'
import type { IPlaceTaskRequest } from '../src/common/protocol/Types.js'
import type { ISpec, ISpecEvent } from './Model.js'

const JOBS = ['g1', 'g2'] as const
const SCHEDULERS = ['s1', 's2'] as const
const MAX_FAULTS = 2
const MAX_TRIES = 2
const OPTIONS = { expiresMs: 10, startMarginMs: 0 }

type JobName = typeof JOBS[number]
type SchedulerName = typeof SCHEDULERS[number]

interface ICommand {
  readonly job: JobName
  readonly type: GangCommand['type']
  readonly scheduler: SchedulerName
  /** The scheduler that receives the command. It differs from `scheduler` in one mutant only. */
  readonly target: SchedulerName
  readonly tryNumber: number
  readonly taskIds: readonly string[]
  /** Whether the sender has stopped waiting for the answer. */
  readonly isStray: boolean
}

interface IPlaceState {
  job: JobName | null
  tryNumber: number
  taskId: string
  isStarted: boolean
  /** The try of each job whose commands the scheduler accepts. */
  tryFence: ITryFenceSnapshot
  /** Whether the scheduler has reserved more than it has places. */
  isOvercommitted: boolean
}

interface IJobState extends IGangSnapshot {
  readonly tries: number
}

export interface IGangState {
  jobs: Record<JobName, IJobState>
  /** Whether each job is running or has run to its end. */
  hasRun: Record<JobName, boolean>
  places: Record<SchedulerName, IPlaceState>
  commands: ICommand[]
  faults: number
}

function tasksOf (job: JobName): readonly IPlaceTaskRequest[] {
  return ['a', 'b'].map((id) => ({
    jobId: job,
    service: 's',
    caller: 'c',
    task: { taskId: `${job}${id}`, resources: { cores: 1, memoryBytes: 0, accelerators: 0 } },
    attempt: 1,
    jobOwner: 'o'
  }))
}

function newPlace (): IPlaceState {
  return { job: null, tryNumber: -1, taskId: '', isStarted: false, tryFence: {}, isOvercommitted: false }
}

function newJob (tries = 0): IJobState {
  return { phase: 'reserving', tries, nextScheduler: 0, parts: [] }
}

/** Runs the real class on a job's state and sends the resulting commands. */
function driveJob (state: IGangState, job: JobName, run: (gang: GangReservation) => void, mutant: string | undefined): void {
  const { tries } = state.jobs[job]
  const gang = new GangReservation(tries, tasksOf(job), SCHEDULERS, OPTIONS, state.jobs[job])
  run(gang)
  const commands = gang.nextCommands(1)
  const { phase } = gang
  state.jobs[job] = { ...gang.snapshot(), tries }
  if (phase === 'givingBack' && mutant === 'hold-and-wait') keepAndWait(state, job)
  else for (const command of commands) sendCommand(state, job, command, mutant)
  if (gang.phase === 'running') state.hasRun[job] = true
}

/** Begins the first try, or the next try after the pause. */
function beginTry (state: IGangState, job: JobName, mutant: string | undefined): void {
  if (state.jobs[job].phase === 'givenBack') state.jobs[job] = newJob(state.jobs[job].tries + 1)
  driveJob(state, job, () => {}, mutant)
}

/** The mutant keeps the places that it has reserved and asks again for the missing ones. */
function keepAndWait (state: IGangState, job: JobName): void {
  const parts = state.jobs[job].parts.filter((part) => part.taskIds.length > 0).map((part) => ({ ...part, state: 'reserved' as const }))
  const missing = SCHEDULERS.findIndex((name) => !parts.some((part) => part.scheduler === name))
  state.jobs[job] = { ...state.jobs[job], phase: 'reserving', parts, nextScheduler: missing }
}

/** In the mutant, each job asks the schedulers in a different order. */
function targetOf (job: JobName, scheduler: string, mutant: string | undefined): SchedulerName {
  if (mutant !== 'hold-and-wait' || job === 'g1') return scheduler as SchedulerName
  return scheduler === 's1' ? 's2' : 's1'
}

function sendCommand (state: IGangState, job: JobName, command: GangCommand, mutant: string | undefined): void {
  const taskIds = command.type === 'reserve' ? command.tasks.map(({ task }) => task.taskId) : []
  const { type, tryNumber } = command
  const scheduler = command.scheduler as SchedulerName
  state.commands.push({ job, type, scheduler, target: targetOf(job, scheduler, mutant), tryNumber, taskIds, isStray: false })
}

function withTryFence<T> (place: IPlaceState, run: (tryFence: TryFence) => T): T {
  const tryFence = new TryFence(place.tryFence)
  const result = run(tryFence)
  place.tryFence = tryFence.snapshot()
  return result
}

/** Handles a command at the scheduler and returns its answer. */
function handleCommand (place: IPlaceState, command: ICommand, mutant: string | undefined): readonly string[] | boolean {
  const { job, tryNumber } = command
  if (command.type === 'reserve') return reservePlace(place, command, mutant)
  if (command.type === 'start') {
    const mayStart = withTryFence(place, (tryFence) => tryFence.mayStart(job, tryNumber)) || mutant === 'no-try-number'
    const isStarting = mayStart && place.job === job
    if (isStarting) place.isStarted = true
    return isStarting
  }
  const isLatest = withTryFence(place, (tryFence) => tryFence.giveBack(job, tryNumber))
  if (isLatest && place.job === job) freePlace(place, mutant)
  return true
}

/** A new try frees the places of an earlier try, except those of tasks that have started. */
function reservePlace (place: IPlaceState, command: ICommand, mutant: string | undefined): readonly string[] {
  const { job, tryNumber, taskIds } = command
  if (!withTryFence(place, (tryFence) => tryFence.begin(job, tryNumber)) && mutant !== 'no-try-number') return []
  if (place.job === job && !place.isStarted) freePlace(place, mutant)
  if (place.job !== null && mutant !== 'no-capacity-check') return []
  if (place.job !== null) place.isOvercommitted = true
  Object.assign(place, { job, tryNumber, taskId: taskIds[0], isStarted: false })
  return taskIds.slice(0, 1)
}

function freePlace (place: IPlaceState, mutant: string | undefined): void {
  if (mutant === 'keep-started' && place.isStarted) return
  Object.assign(place, { job: null, tryNumber: -1, taskId: '', isStarted: false })
}

function applyAnswer (state: IGangState, command: ICommand, answer: readonly string[] | boolean, mutant: string | undefined): void {
  const { job, scheduler, type } = command
  driveJob(state, job, (gang) => {
    if (type === 'reserve') gang.reportReserved(scheduler, answer as readonly string[])
    if (type === 'start') gang.reportStarted(scheduler, answer === true)
    if (type === 'giveBack') gang.reportGivenBack(scheduler)
  }, mutant)
}

/** Handles a missing answer as the real code does: after a reserve or a start the places are given back, and a give-back is repeated. */
function applyLostAnswer (state: IGangState, command: ICommand, mutant: string | undefined): void {
  state.faults += 1
  driveJob(state, command.job, (gang) => {
    if (command.type === 'reserve') gang.reportFailed()
    if (command.type === 'start') gang.reportStarted(command.scheduler, false)
    if (command.type === 'giveBack') gang.reportGiveBackFailed(command.scheduler)
  }, mutant)
}

function applyCommand (state: IGangState, index: number, type: string, mutant: string | undefined): void {
  const command = state.commands.splice(index, 1)[0]
  if (command === undefined) return
  if (type === 'late') {
    state.commands.push({ ...command, isStray: true })
    applyLostAnswer(state, command, mutant)
    return
  }
  const answer = handleCommand(state.places[command.target], command, mutant)
  if (command.isStray) return
  if (type === 'answer lost') applyLostAnswer(state, command, mutant)
  else applyAnswer(state, command, answer, mutant)
}

function finishJob (state: IGangState, job: JobName): void {
  for (const name of SCHEDULERS) {
    if (state.places[name].job === job) freePlace(state.places[name], undefined)
  }
  state.jobs[job] = { ...newJob(), phase: 'running' }
}

function expireReservation (state: IGangState, place: IPlaceState): void {
  state.faults += 1
  freePlace(place, undefined)
}

/**
 * Gives equivalent states the same form. The order of commands does not matter, and a past try matters only while one of its
 * commands is in flight.
 */
function normalizeState (state: IGangState): void {
  state.commands.sort((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1)
  for (const name of SCHEDULERS) {
    const place = state.places[name]
    const relevant = JOBS.filter((job) => place.job === job || isAwaited(state, name, job))
    place.tryFence = Object.fromEntries(relevant.flatMap((job) => {
      const held = place.tryFence[job]
      return held === undefined ? [] : [[job, held]]
    }))
  }
}

function isAwaited (state: IGangState, name: SchedulerName, job: JobName): boolean {
  const { tryNumber = -1 } = state.places[name].tryFence[job] ?? {}
  return state.commands.some((command) => command.target === name && command.job === job && command.tryNumber <= tryNumber)
}

function isHalfStarted (state: IGangState, job: JobName): boolean {
  const started = SCHEDULERS.filter((name) => state.places[name].job === job && state.places[name].isStarted).length
  const isQuiet = state.commands.every((command) => command.job !== job || command.isStray)
  const isSettled = ['givenBack', 'reserving'].includes(state.jobs[job].phase) && state.jobs[job].parts.length === 0
  return started > 0 && started < SCHEDULERS.length && isQuiet && isSettled
}

/** Whether a task of the current try has started before all places of that try are reserved. */
function hasStartedEarly (state: IGangState, job: JobName): boolean {
  return state.jobs[job].phase === 'reserving' && SCHEDULERS.some((name) => {
    const place = state.places[name]
    return place.job === job && place.isStarted && place.tryNumber === state.jobs[job].tries
  })
}

function jobEvents (state: IGangState, job: JobName, mutant: string | undefined): readonly string[] {
  const { phase, tries, parts } = state.jobs[job]
  const heldPlaces = SCHEDULERS.filter((name) => state.places[name].job === job)
  const types: string[] = []
  if (phase === 'reserving' && parts.length === 0) types.push('begin')
  if (phase === 'givenBack' && tries + 1 < MAX_TRIES) types.push('begin')
  const isWaiting = mutant === 'hold-and-wait' && !state.commands.some((command) => command.job === job)
  if (phase === 'reserving' && parts.length > 0 && isWaiting) types.push('ask again')
  if (phase === 'running' && heldPlaces.length > 0) types.push('finish')
  for (const name of heldPlaces) {
    if (!state.places[name].isStarted && mutant !== 'hold-and-wait' && state.faults < MAX_FAULTS) types.push(`expires@${name}`)
  }
  return types
}

export const gangSpec: ISpec<IGangState> = {
  name: 'gang',
  properties: {
    capacity: 'a scheduler never holds more than it has places',
    noHalfStart: 'no job that has given up a try keeps some of its tasks running, and no task starts before all places are held',
    progress: 'from every state both jobs can still start to run, or have used up their tries'
  },
  bounds: [
    '2 jobs of 2 tasks, 2 schedulers with 1 place each', `${MAX_TRIES} tries a job`, `${MAX_FAULTS} lost answers, late commands (of the first job) or expired reservations`
  ],
  mutants: {
    'no-capacity-check': 'capacity',
    'keep-started': 'noHalfStart',
    'no-try-number': 'noHalfStart',
    'hold-and-wait': 'progress'
  },
  initial: () => ({
    jobs: { g1: newJob(), g2: newJob() },
    hasRun: { g1: false, g2: false },
    places: { s1: newPlace(), s2: newPlace() },
    commands: [],
    faults: 0
  }),
  events: (state, mutant) => [
    ...JOBS.flatMap((job) => jobEvents(state, job, mutant).map((type): ISpecEvent => ({ type, by: job }))),
    ...state.commands.flatMap((command, index): readonly ISpecEvent[] => {
      const by = `${index}: ${command.job} ${command.type} ${command.target}`
      const isFaultless = command.isStray || command.job !== 'g1' || state.faults >= MAX_FAULTS || mutant === 'hold-and-wait'
      const faults = isFaultless ? [] : [{ type: 'answer lost', by }, { type: 'late', by }]
      return [{ type: 'arrives', by }, ...faults]
    })
  ],
  apply: (state, event, mutant) => {
    const [type, scheduler] = event.type.split('@')
    if (type === 'begin') beginTry(state, event.by as JobName, mutant)
    else if (type === 'ask again') driveJob(state, event.by as JobName, () => {}, mutant)
    else if (type === 'finish') finishJob(state, event.by as JobName)
    else if (type === 'expires') expireReservation(state, state.places[scheduler as SchedulerName])
    else applyCommand(state, Number.parseInt(event.by ?? ''), event.type, mutant)
    normalizeState(state)
  },
  violatedProperties: (state) => [
    ...(SCHEDULERS.some((name) => state.places[name].isOvercommitted) ? ['capacity'] : []),
    ...(JOBS.some((job) => isHalfStarted(state, job) || hasStartedEarly(state, job)) ? ['noHalfStart'] : [])
  ],
  isGoal: (state) => JOBS.every((job) => state.hasRun[job] || (state.jobs[job].phase === 'givenBack' && state.jobs[job].tries + 1 >= MAX_TRIES))
}
