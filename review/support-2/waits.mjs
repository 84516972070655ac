/**
 * Judges the rule LOST for tasks whose turn has come: whether one has no run for 3 s on end while there is room for it twice over and less
 * than half of the service's capacity is in use.
 */

import { sleep } from './cell.mjs'

const IDLE_MS = 3000
const SAMPLE_MS = 100
/** A longer pause of this process would hide what happened meanwhile. */
const MAX_SAMPLE_GAP_MS = 1000

export class WaitJudge {
  _tasks = new Map()
  _runningCpu = new Map()

  /**
   * @param isEligible whether a runner may run the tasks
   * @param cpu what one of them needs, in thousandths of a core
   * @param options `cpuOf` returns the size of any task; `afterLastRunMs` is how long a task may be down before it counts; `maxUsedShare`
   * is the share of the service's capacity that may be in use
   */
  constructor (cell, isEligible, cpu, { cpuOf = () => cpu, afterLastRunMs = 0, maxUsedShare = 0.5 } = {}) {
    Object.assign(this, { _cell: cell, _isEligible: isEligible, _cpu: cpu, _cpuOf: cpuOf, _afterLastRunMs: afterLastRunMs, _maxUsedShare: maxUsedShare })
  }

  /** Adds a task of an accepted submission. */
  addTask (task) {
    const nowMs = performance.now()
    if (!this._tasks.has(task)) this._tasks.set(task, { isDone: false, isRunning: false, downSinceMs: nowMs, idleSinceMs: undefined, longestMs: 0 })
  }

  onStart (task) {
    this.addTask(task)
    this._tasks.get(task).isRunning = true
  }

  onEnd (task, outcome) {
    const state = this._tasks.get(task)
    if (state === undefined) return
    state.isRunning = false
    state.downSinceMs = performance.now()
    state.isDone ||= outcome === 'done'
  }

  /** Tasks without a run that aren't done. */
  openTasks () {
    return [...this._tasks].filter(([, { isDone, isRunning }]) => !isDone && !isRunning).map(([task]) => task)
  }

  async watch (forMs) {
    const untilMs = performance.now() + forMs
    let sampledAtMs = performance.now()
    while (performance.now() < untilMs) {
      await sleep(SAMPLE_MS)
      const nowMs = performance.now()
      if (nowMs - sampledAtMs > MAX_SAMPLE_GAP_MS) throw new Error('this machine is too busy to judge')
      sampledAtMs = nowMs
      this._sample(nowMs)
    }
  }

  broken () {
    return [...this._tasks].filter(([, { longestMs }]) => longestMs >= IDLE_MS)
      .map(([task, { longestMs, roomFor }]) => `LOST: ${task} had no run for ${Math.round(longestMs)} ms while there was room for it ${roomFor} times`)
  }

  _sample (nowMs) {
    let capacity = 0
    let used = 0
    let places = 0
    for (const host of this._cell.hosts) {
      const usedHere = [...host.host.running.keys()].reduce((sum, task) => sum + this._cpuOf(task), 0)
      capacity += host.cpu
      used += usedHere
      if (this._isEligible(host)) places += Math.floor((host.cpu - usedHere) / this._cpu)
    }
    const hasRoom = places >= 2 && used < capacity * this._maxUsedShare
    for (const state of this._tasks.values()) {
      const isIdle = hasRoom && !state.isDone && !state.isRunning && nowMs - state.downSinceMs >= this._afterLastRunMs
      state.idleSinceMs = isIdle ? state.idleSinceMs ?? nowMs : undefined
      if (!isIdle || nowMs - state.idleSinceMs <= state.longestMs) continue
      state.longestMs = nowMs - state.idleSinceMs
      state.roomFor = places
    }
  }
}
