/**
 * LOST: one large submission, whose tasks save checkpoints, makes its progress record larger than the store's `valueBytes`. From then on
 * submissions that were accepted have nothing running although the service is idle, and new ones are refused.
 */

import { createHash } from 'node:crypto'
import { HostStandIn } from '../../dist/platform/standins/HostStandIn.js'
import { readJson, sendJson } from '../../dist/test/standins/StandInServer.js'
import { IS_TROUBLED, newId, runCase, sleep } from '../support-3/Cell.mjs'

const HOSTS = 8
const HOST_CPU = 64_000
const VALUE_BYTES = 1_048_576
const CHECKPOINT_MS = 2000
const LARGE_COUNT = IS_TROUBLED ? 10_000 : 1000
/** The shortest and the longest task of the large submission, in ms; the others lie between them. */
const LARGE_MIN_WORK_MS = 12_000
const LARGE_MAX_WORK_MS = 240_000
const LARGE_CPU = 20
const SMALL = 30
const SMALL_CPU = 500
const SMALL_WORK_MS = 20_000
const TRAFFIC_MS = 40_000
const IDLE_MS = 3000
const FINISH_MS = 14_000
const STATUS_ANSWER_MS = 3000

/** A host whose tasks save a checkpoint every two seconds: the name of what they saved, 64 hexadecimal digits. */
class SavingHost extends HostStandIn {
  _checkpointOf (task, run, beganAtMs) {
    const saves = Math.floor((performance.now() - beganAtMs) / CHECKPOINT_MS)
    return saves === 0 || !task.startsWith(largeId) ? '' : createHash('sha256').update(`${task} ${run} ${saves}`).digest('hex')
  }

  _sendStatus (exchange) {
    const nowMs = performance.now()
    const running = [...this.running].map(([task, { run, beganAtMs, workMs }]) =>
      [task, run, this._checkpointOf(task, run, beganAtMs), Math.min(99, Math.floor(100 * (nowMs - beganAtMs) / workMs))])
    sendJson(exchange, 200, { clockMs: this._clockMs, born: this.bornMs, running, ended: this._endedRows.slice(0, 500) })
  }

  _endRun (task, outcome) {
    const present = this.running.get(task)
    this._saved = present === undefined ? '' : this._checkpointOf(task, present.run, present.beganAtMs)
    super._endRun(task, outcome)
  }

  _listEnd (task, run, outcome) {
    super._listEnd(task, run, outcome)
    const row = this._endedRows.at(-1)
    this._endedRows[this._endedRows.length - 1] = [...row.slice(0, 4), this._saved]
  }
}

const largeId = newId()
const starts = new Map()
const running = new Set()
const done = new Set()
let largestValue = 0
let refusedWrites = 0

const events = {
  onStart: (_, task) => { starts.set(task, performance.now()); running.add(task) },
  onEnd: (_, task, __, outcome) => { running.delete(task); if (outcome === 'done') done.add(task) }
}

/** The store answers 400 to a value above `valueBytes`, and applies nothing. */
function withLimit (store) {
  return {
    control () {},
    dump: () => store.dump(),
    close: () => { store.close() },
    handle (exchange) {
      if (exchange.path.startsWith('/kv-txn')) {
        const sizes = readJson(exchange).puts.map(({ value }) => Buffer.byteLength(value, 'base64'))
        largestValue = Math.max(largestValue, ...sizes)
        if (Math.max(0, ...sizes) > VALUE_BYTES) {
          refusedWrites += 1
          return sendJson(exchange, 400, {})
        }
      }
      store.handle(exchange)
    }
  }
}

function largeWorkMs (index) {
  return LARGE_MIN_WORK_MS + (LARGE_MAX_WORK_MS - LARGE_MIN_WORK_MS) * index / LARGE_COUNT
}

const options = {
  controllers: 3,
  hosts: HOSTS,
  cpu: HOST_CPU,
  StandInClass: SavingHost,
  wrapStore: withLimit,
  workMs: (task) => task.startsWith(largeId) ? largeWorkMs(Number(task.split('.')[3])) : SMALL_WORK_MS
}

await runCase(import.meta.url, options, events, async (cell, recorder) => {
  await sleep(3000)
  const [first] = cell.controllers
  const small = []
  for (let number = 0; number < SMALL; number += 1) {
    const id = newId()
    const steps = [{ count: 1, cpu: SMALL_CPU, memMb: 16, estimateMs: SMALL_WORK_MS }, { count: 1, cpu: SMALL_CPU, memMb: 16, estimateMs: SMALL_WORK_MS, after: [0] }]
    const { status } = await cell.call(cell.controllers[number % 3], 'POST', `/urgent/${id}`, { spec: `small ${number}`, steps })
    if (status >= 200 && status < 300) small.push(id)
  }
  const large = { spec: 'large', steps: [{ count: LARGE_COUNT, cpu: LARGE_CPU, memMb: 16, estimateMs: LARGE_MAX_WORK_MS / 2, checkpointing: true }] }
  const { status } = await cell.call(first, 'POST', `/batch/${largeId}`, large)
  recorder.say(`the large submission was answered ${status}`)
  for (let second = 0; second < TRAFFIC_MS / 1000; second += 1) {
    await sleep(1000)
    recorder.add('state', { second, running: running.size, done: done.size, largestValue, refusedWrites })
    if (process.env.VERBOSE) console.log(second, running.size, done.size, largestValue, refusedWrites)
  }
  await sleep(FINISH_MS)
  return await judge(cell, recorder, small)
})

async function judge (cell, recorder, small) {
  const smallTasks = small.flatMap((id) => [`${id}.0.0.0`, `${id}.0.1.0`])
  const startsBefore = smallTasks.filter((task) => starts.has(task)).length
  // A submission breaks the rule if its turn has come and it has nothing running during the whole of the 3 s.
  const idle = small.filter((id) => done.has(`${id}.0.0.0`) && !starts.has(`${id}.0.1.0`))
  await sleep(IDLE_MS)
  const stuck = idle.filter((id) => !starts.has(`${id}.0.1.0`))
  const usedShare = [...running].reduce((cpu, task) => cpu + (task.startsWith(largeId) ? LARGE_CPU : SMALL_CPU), 0) / (HOSTS * HOST_CPU)
  const counts = {}
  for (const id of small) {
    const { status, text } = await cell.call(cell.controllers[1], 'GET', `/urgent/${id}`, undefined, STATUS_ANSWER_MS)
    const state = status === 200 ? JSON.parse(text).state : String(status)
    counts[state] = (counts[state] ?? 0) + 1
  }
  const body = { spec: 'after', steps: [{ count: 1, cpu: SMALL_CPU, memMb: 16, estimateMs: 100 }] }
  const probe = await cell.call(cell.controllers[2], 'POST', `/urgent/${newId()}`, body)
  recorder.say(`${small.length} small submissions, ${startsBefore} of their ${smallTasks.length} tasks started; shown as ${JSON.stringify(counts)}`)
  recorder.say(`with nothing running for ${IDLE_MS} ms though a step's turn has come: ${stuck.length}; ${(100 * usedShare).toFixed(1)} % of the service in use`)
  recorder.say(`largest value ${largestValue} bytes, ${refusedWrites} writes refused for their size; a new submission is answered ${probe.status}`)
  return stuck.length > 0 && usedShare < 0.5
}
