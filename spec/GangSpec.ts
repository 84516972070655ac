/**
 * Two all-at-once jobs of two tasks each, over two schedulers with one free place each: only one of the jobs can run
 * at a time. Each try of a job is driven by the code's own `GangReservation`, and the schedulers run `HeldTries`.
 *
 * Commands and answers get lost and commands arrive late, also after the next try has begun; reservations expire;
 * a scheduler may lose its places once, as when it dies and another takes its hosts over.
 */

import { GangReservation } from '../src/common/state/GangReservation.js'
import { TryFence } from '../src/common/state/TryFence.js'

import type { GangCommand, IGangSnapshot } from '../src/common/state/GangReservation.js'
import type { ITryFenceSnapshot } from '../src/common/state/TryFence.js'
import type { IPlaceTask } from '../src/common/protocol/Types.js'
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
  /** Where it goes: the scheduler, but in one mutant. */
  readonly place: SchedulerName
  readonly tryNumber: number
  readonly taskIds: readonly string[]
  /** Its sender no longer waits for it. */
  readonly stray: boolean
}

interface IPlaceState {
  job: JobName | null
  tryNumber: number
  taskId: string
  started: boolean
  /** Which try of each job is acted on here. */
  guard: ITryFenceSnapshot
  /** More than fits. */
  over: boolean
}

interface IJobState extends IGangSnapshot {
  readonly tries: number
}

export interface IGangState {
  jobs: Record<JobName, IJobState>
  /** What runs or ran to its end. */
  done: Record<JobName, boolean>
  places: Record<SchedulerName, IPlaceState>
  commands: ICommand[]
  faults: number
}

function tasksOf (job: JobName): readonly IPlaceTask[] {
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
  return { job: null, tryNumber: -1, taskId: '', started: false, guard: {}, over: false }
}

function newJob (tries = 0): IJobState {
  return { phase: 'reserving', tries, nextScheduler: 0, parts: [] }
}

/** Runs the code's class on a job's state, and sends the commands that follow. */
function act (state: IGangState, job: JobName, run: (gang: GangReservation) => void, mutant: string | undefined): void {
  const { tries } = state.jobs[job]
  const gang = new GangReservation(tries, tasksOf(job), SCHEDULERS, OPTIONS, state.jobs[job])
  run(gang)
  const commands = gang.nextCommands(1)
  const { phase } = gang
  state.jobs[job] = { ...gang.snapshot(), tries }
  if (phase === 'givingBack' && mutant === 'hold-and-wait') keepAndWait(state, job)
  else for (const command of commands) send(state, job, command, mutant)
  if (gang.phase === 'running') state.done[job] = true
}

/** The first try, or the next one after the pause. */
function begin (state: IGangState, job: JobName, mutant: string | undefined): void {
  if (state.jobs[job].phase === 'givenBack') state.jobs[job] = newJob(state.jobs[job].tries + 1)
  act(state, job, () => {}, mutant)
}

/** The mutant keeps what it got and asks for the rest again. */
function keepAndWait (state: IGangState, job: JobName): void {
  const parts = state.jobs[job].parts.filter((part) => part.taskIds.length > 0).map((part) => ({ ...part, state: 'reserved' as const }))
  const missing = SCHEDULERS.findIndex((name) => !parts.some((part) => part.scheduler === name))
  state.jobs[job] = { ...state.jobs[job], phase: 'reserving', parts, nextScheduler: missing }
}

/** The mutant lets each job ask in an order of its own. */
function placeOf (job: JobName, scheduler: string, mutant: string | undefined): SchedulerName {
  if (mutant !== 'hold-and-wait' || job === 'g1') return scheduler as SchedulerName
  return scheduler === 's1' ? 's2' : 's1'
}

function send (state: IGangState, job: JobName, command: GangCommand, mutant: string | undefined): void {
  const taskIds = command.type === 'reserve' ? command.tasks.map(({ task }) => task.taskId) : []
  const { type, tryNumber } = command
  const scheduler = command.scheduler as SchedulerName
  state.commands.push({ job, type, scheduler, place: placeOf(job, scheduler, mutant), tryNumber, taskIds, stray: false })
}

function guarded<T> (place: IPlaceState, run: (guard: TryFence) => T): T {
  const guard = new TryFence(place.guard)
  const result = run(guard)
  place.guard = guard.snapshot()
  return result
}

/** The scheduler's side: what it answers is the result. */
function serve (place: IPlaceState, command: ICommand, mutant: string | undefined): readonly string[] | boolean {
  const { job, tryNumber } = command
  if (command.type === 'reserve') return reserve(place, command, mutant)
  if (command.type === 'start') {
    const mayStart = guarded(place, (guard) => guard.mayStart(job, tryNumber)) || mutant === 'no-try-number'
    const starts = mayStart && place.job === job
    if (starts) place.started = true
    return starts
  }
  const isLatest = guarded(place, (guard) => guard.giveBack(job, tryNumber))
  if (isLatest && place.job === job) freePlace(place, mutant)
  return true
}

/** A new try lets the places of an earlier one go, but not its tasks that have started. */
function reserve (place: IPlaceState, command: ICommand, mutant: string | undefined): readonly string[] {
  const { job, tryNumber, taskIds } = command
  if (!guarded(place, (guard) => guard.begin(job, tryNumber)) && mutant !== 'no-try-number') return []
  if (place.job === job && !place.started) freePlace(place, mutant)
  if (place.job !== null && mutant !== 'no-capacity-check') return []
  if (place.job !== null) place.over = true
  Object.assign(place, { job, tryNumber, taskId: taskIds[0], started: false })
  return taskIds.slice(0, 1)
}

function freePlace (place: IPlaceState, mutant: string | undefined): void {
  if (mutant === 'keep-started' && place.started) return
  Object.assign(place, { job: null, tryNumber: -1, taskId: '', started: false })
}

function hear (state: IGangState, command: ICommand, answer: readonly string[] | boolean, mutant: string | undefined): void {
  const { job, scheduler, type } = command
  act(state, job, (gang) => {
    if (type === 'reserve') gang.reportReserved(scheduler, answer as readonly string[])
    if (type === 'start') gang.reportStarted(scheduler, answer === true)
    if (type === 'giveBack') gang.reportGivenBack(scheduler)
  }, mutant)
}

/** No answer: the sender reacts as the code does. A reserve leads to giving back, a start too, a give-back is repeated. */
function hearNothing (state: IGangState, command: ICommand, mutant: string | undefined): void {
  state.faults += 1
  act(state, command.job, (gang) => {
    if (command.type === 'reserve') gang.reportFailed()
    if (command.type === 'start') gang.reportStarted(command.scheduler, false)
    if (command.type === 'giveBack') gang.reportGiveBackFailed(command.scheduler)
  }, mutant)
}

function applyCommand (state: IGangState, index: number, type: string, mutant: string | undefined): void {
  const command = state.commands.splice(index, 1)[0]
  if (command === undefined) return
  if (type === 'late') {
    state.commands.push({ ...command, stray: true })
    hearNothing(state, command, mutant)
    return
  }
  const answer = serve(state.places[command.place], command, mutant)
  if (command.stray) return
  if (type === 'answer lost') hearNothing(state, command, mutant)
  else hear(state, command, answer, mutant)
}

function finish (state: IGangState, job: JobName): void {
  for (const name of SCHEDULERS) {
    if (state.places[name].job === job) freePlace(state.places[name], undefined)
  }
  state.jobs[job] = { ...newJob(), phase: 'running' }
}

function expire (state: IGangState, place: IPlaceState): void {
  state.faults += 1
  freePlace(place, undefined)
}

/** What means the same is written the same: commands arrive in any order, and a past try matters while a command of it is on its way. */
function normalise (state: IGangState): void {
  state.commands.sort((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1)
  for (const name of SCHEDULERS) {
    const place = state.places[name]
    const relevant = JOBS.filter((job) => place.job === job || isAwaited(state, name, job))
    place.guard = Object.fromEntries(relevant.flatMap((job) => {
      const held = place.guard[job]
      return held === undefined ? [] : [[job, held]]
    }))
  }
}

function isAwaited (state: IGangState, name: SchedulerName, job: JobName): boolean {
  const { tryNumber = -1 } = state.places[name].guard[job] ?? {}
  return state.commands.some((command) => command.place === name && command.job === job && command.tryNumber <= tryNumber)
}

function isHalfStarted (state: IGangState, job: JobName): boolean {
  const started = SCHEDULERS.filter((name) => state.places[name].job === job && state.places[name].started).length
  const quiet = state.commands.every((command) => command.job !== job || command.stray)
  const settled = ['givenBack', 'reserving'].includes(state.jobs[job].phase) && state.jobs[job].parts.length === 0
  return started > 0 && started < SCHEDULERS.length && quiet && settled
}

/** The first start of a try is sent only once every place of that try is held. */
function startsEarly (state: IGangState, job: JobName): boolean {
  return state.jobs[job].phase === 'reserving' && SCHEDULERS.some((name) => {
    const place = state.places[name]
    return place.job === job && place.started && place.tryNumber === state.jobs[job].tries
  })
}

function jobEvents (state: IGangState, job: JobName, mutant: string | undefined): readonly string[] {
  const { phase, tries, parts } = state.jobs[job]
  const holds = SCHEDULERS.filter((name) => state.places[name].job === job)
  const types: string[] = []
  if (phase === 'reserving' && parts.length === 0) types.push('begin')
  if (phase === 'givenBack' && tries + 1 < MAX_TRIES) types.push('begin')
  const waits = mutant === 'hold-and-wait' && !state.commands.some((command) => command.job === job)
  if (phase === 'reserving' && parts.length > 0 && waits) types.push('ask again')
  if (phase === 'running' && holds.length > 0) types.push('finish')
  for (const name of holds) {
    if (!state.places[name].started && mutant !== 'hold-and-wait' && state.faults < MAX_FAULTS) types.push(`expires@${name}`)
  }
  return types
}

export const gangSpec: ISpec<IGangState> = {
  name: 'gang',
  properties: {
    capacity: 'a scheduler never holds more than it has places',
    noHalfStart: 'no job that has given up a try keeps some of its tasks running, and no task starts before all places are held',
    progress: 'from every state both jobs can still come to run, or have used up their tries'
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
    done: { g1: false, g2: false },
    places: { s1: newPlace(), s2: newPlace() },
    commands: [],
    faults: 0
  }),
  events: (state, mutant) => [
    ...JOBS.flatMap((job) => jobEvents(state, job, mutant).map((type): ISpecEvent => ({ type, by: job }))),
    ...state.commands.flatMap((command, index): readonly ISpecEvent[] => {
      const by = `${index}: ${command.job} ${command.type} ${command.place}`
      const spared = command.stray || command.job !== 'g1' || state.faults >= MAX_FAULTS || mutant === 'hold-and-wait'
      const faults = spared ? [] : [{ type: 'answer lost', by }, { type: 'late', by }]
      return [{ type: 'arrives', by }, ...faults]
    })
  ],
  apply: (state, event, mutant) => {
    const [type, scheduler] = event.type.split('@')
    if (type === 'begin') begin(state, event.by as JobName, mutant)
    else if (type === 'ask again') act(state, event.by as JobName, () => {}, mutant)
    else if (type === 'finish') finish(state, event.by as JobName)
    else if (type === 'expires') expire(state, state.places[scheduler as SchedulerName])
    else applyCommand(state, Number.parseInt(event.by ?? ''), event.type, mutant)
    normalise(state)
  },
  broken: (state) => [
    ...(SCHEDULERS.some((name) => state.places[name].over) ? ['capacity'] : []),
    ...(JOBS.some((job) => isHalfStarted(state, job) || startsEarly(state, job)) ? ['noHalfStart'] : [])
  ],
  goal: (state) => JOBS.every((job) => state.done[job] || (state.jobs[job].phase === 'givenBack' && state.jobs[job].tries + 1 >= MAX_TRIES))
}
