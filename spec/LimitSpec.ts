/**
 * The limit of a workspace in a cell: owner `a` is replaced by owner `b`, and hosts run four tasks of the workspace, of which two may run
 * at a time.
 *
 * Faults: orders are carried out late or never answered, runs are stopped, and the owner changes at any moment.
 */

import type { ISpec, ISpecEvent } from './Model.js'

type OwnerName = 'a' | 'b'

const TASKS = [0, 1, 2, 3] as const
const LIMIT = 2

type AttemptPhase = 'none' | 'recovering' | 'recorded' | 'ordered' | 'stopping'

interface ITask {
  /** What the present owner knows of the task's run. */
  attempt: AttemptPhase
  isRecorded: boolean
  /** The owner whose order is in flight. */
  order: OwnerName | null
  isRunning: boolean
  isDone: boolean
}

export interface ILimitState {
  owner: OwnerName
  /** Whether the hosts accept only orders of `b`. */
  isFenced: boolean
  tasks: ITask[]
}

function createState (): ILimitState {
  const task = (): ITask => ({ attempt: 'none', isRecorded: false, order: null, isRunning: false, isDone: false })
  return { owner: 'a', isFenced: false, tasks: TASKS.map(task) }
}

function taskOf (state: ILimitState, number: number): ITask {
  const task = state.tasks[number]
  if (task === undefined) throw new Error(`no task ${number}`)
  return task
}

function takeOver (state: ILimitState, mutant: string | undefined): void {
  state.owner = 'b'
  for (const task of state.tasks) {
    task.attempt = task.isRecorded && mutant !== 'forget-recorded' ? 'recovering' : 'none'
  }
}

/** The hosts accept the fence of `b` and list their runs. */
function look (state: ILimitState): void {
  state.isFenced = true
  for (const task of state.tasks) {
    if (task.attempt === 'recovering') release(task, task.isRunning)
  }
}

function release (task: ITask, isRunning: boolean): void {
  task.attempt = isRunning ? 'ordered' : 'none'
  task.isRecorded = isRunning
}

function countUsed (state: ILimitState, mutant: string | undefined): number {
  return state.tasks.filter(({ attempt }) => attempt !== 'none' && !(attempt === 'stopping' && mutant === 'free-on-stop')).length
}

function ownerEvents (state: ILimitState, mutant: string | undefined): readonly ISpecEvent[] {
  const events: ISpecEvent[] = []
  if (state.owner === 'a') events.push({ type: 'takeOver' })
  if (state.owner === 'b' && !state.isFenced && mutant !== 'never-looks') events.push({ type: 'look' })
  const mayPlace = (state.owner === 'a' || state.isFenced) && countUsed(state, mutant) < LIMIT
  for (const number of TASKS) events.push(...taskEvents(state, number, mayPlace, mutant))
  return events
}

function taskEvents (state: ILimitState, number: number, mayPlace: boolean, mutant: string | undefined): readonly ISpecEvent[] {
  const { attempt, order, isRunning, isDone } = taskOf(state, number)
  const types: string[] = []
  if (mayPlace && attempt === 'none' && !isDone && !isRunning && order === null) types.push('place')
  if (attempt === 'recorded') types.push('order')
  if (attempt === 'ordered') types.push('stop')
  if (order !== null) types.push('arrive', 'expire')
  if (isRunning) types.push('end')
  const isGone = !isRunning && order === null
  if ((attempt === 'ordered' || attempt === 'stopping') && (isGone || (mutant === 'free-in-doubt' && !isRunning))) types.push('free')
  if (attempt === 'stopping' && !isGone) types.push('confirmStop')
  return types.map((type) => ({ type: `${type} ${number}` }))
}

function applyTask (state: ILimitState, task: ITask, verb: string): void {
  switch (verb) {
    case 'place':
      task.attempt = 'recorded'
      task.isRecorded = true
      return
    case 'order':
      task.attempt = 'ordered'
      task.order = state.owner
      return
    case 'stop': task.attempt = 'stopping'; return
    case 'arrive':
      if (!(state.isFenced && task.order === 'a')) task.isRunning = true
      task.order = null
      return
    case 'expire': task.order = null; return
    case 'end':
      task.isRunning = false
      task.isDone = true
      return
    case 'confirmStop':
      task.isRunning = false
      task.order = null
      return
    case 'free': release(task, false)
  }
}

export const limitSpec: ISpec<ILimitState> = {
  name: 'limit',
  properties: {
    limit: 'the tasks of the workspace that run at the same time never exceed its limit',
    progress: 'from every state all tasks can still end'
  },
  bounds: ['one workspace with a limit of two tasks', 'four tasks', 'one takeover'],
  mutants: { 'free-on-stop': 'limit', 'free-in-doubt': 'limit', 'forget-recorded': 'limit', 'never-looks': 'progress' },
  initial: createState,
  events: (state, mutant) => ownerEvents(state, mutant),
  apply: (state, event, mutant) => {
    const [verb = '', number] = event.type.split(' ')
    if (verb === 'takeOver') takeOver(state, mutant)
    else if (verb === 'look') look(state)
    else applyTask(state, taskOf(state, Number(number)), verb)
  },
  violatedProperties: (state) => state.tasks.filter(({ isRunning }) => isRunning).length > LIMIT ? ['limit'] : [],
  isGoal: (state) => state.tasks.every(({ isDone }) => isDone),
  // The tasks must be able to end without a change of the owner.
  unfairEvents: ['takeOver']
}
