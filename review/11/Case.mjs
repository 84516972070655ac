/**
 * TWICE: a start order has no answer and is carried out seconds later, and the owner of the cell is stopped meanwhile. The next owner starts the
 * task elsewhere at once, and a server that has started again behind a cut carries out the first order as well.
 */

import { dropConnection } from '../../dist/test/standins/StandInServer.js'
import { IS_TROUBLED, newId, runCase, sleep } from '../support-3/Cell.mjs'

const HOSTS = 8
const HOST_CPU = 64_000
const SUBMIT_GAP_MS = 100
const TASKS = 6
const LATE_SHARE = 0.055
const LATE_FOR_MS = 5500
const MIN_LATE_MS = 5000
const MAX_LATE_MS = 8500
const CUT_AFTER_MS = 2500
const CUT_MS = 5500

/** The hosts that run each task now. */
const running = new Map()
const doubled = []
/** The late orders: the host's stand-in, the run, and when it is carried out. */
const late = []
const options = { controllers: 3, hosts: HOSTS, cpu: HOST_CPU, workMs: () => 40_000 }
const events = {
  onStart: (host, task, run) => {
    const runs = running.get(task) ?? new Map()
    runs.set(host.hostId, run)
    running.set(task, runs)
    if (runs.size > 1) doubled.push({ task, runs: [...runs].map(([id, each]) => `run ${each} on ${id}`).join(' and ') })
  },
  onEnd: (host, task) => { running.get(task)?.delete(host.hostId) }
}

/** The owner of the cell: the process that polls the hosts. */
function findOwner (cell) {
  const taken = cell.controllers.map((controller) => ({ controller, line: controller.logLines.findLast((line) => line.includes('"owner.ready"')) ?? '' }))
  const timeOf = (line) => /"time":"([^"]+)"/.exec(line)?.[1] ?? ''
  return taken.sort((a, b) => timeOf(a.line) < timeOf(b.line) ? 1 : -1)[0].controller
}

/** A share of the orders gets no answer and is carried out seconds later, by whatever incarnation of the host is there by then. */
function delayOrders (standIn, recorder) {
  standIn.lateShare = LATE_SHARE
  standIn._delay = (exchange, execute) => {
    if (Math.random() < 0.5) dropConnection(exchange)
    const lateMs = MIN_LATE_MS + Math.random() * (MAX_LATE_MS - MIN_LATE_MS)
    const order = JSON.parse(exchange.body)
    late.push({ standIn, order, dueMs: performance.now() + lateMs })
    recorder.add('lateOrder', { path: exchange.path, order, lateMs: Math.round(lateMs) })
    setTimeout(() => {
      recorder.add('lateOrderArrives', { task: order.task, run: order.run })
      execute()
    }, lateMs)
  }
}

await runCase(import.meta.url, options, events, async (cell, recorder) => {
  await sleep(3000)
  const beganAtMs = performance.now()
  for (const { standIn } of IS_TROUBLED ? cell.hosts : []) delayOrders(standIn, recorder)
  const calls = []
  for (let number = 0; performance.now() - beganAtMs < LATE_FOR_MS; number += 1) {
    const steps = [{ count: TASKS, cpu: 500, memMb: 128, estimateMs: 40_000 }]
    calls.push(cell.call(cell.controllers[number % 3], 'POST', `/batch/${newId()}`, { spec: `sweep ${number}`, steps }))
    await sleep(SUBMIT_GAP_MS)
  }
  await Promise.all(calls)
  for (const { standIn } of cell.hosts) standIn.lateShare = 0
  if (IS_TROUBLED) {
    const owner = findOwner(cell)
    recorder.say(`${late.length} orders are late; ${owner.id} owns the cell, is stopped with SIGTERM and started again`)
    const restarted = owner.stop().then(() => owner.start())
    await sleep(CUT_AFTER_MS)
    const nowMs = performance.now()
    /** The late orders that arrive during the cut and whose tasks have been started elsewhere. */
    const isElsewhere = (task, host) => [...running.get(task)?.keys() ?? []].some((hostId) => hostId !== host.hostId)
    const countLate = (host) => late.filter(({ standIn, order, dueMs }) =>
      standIn === host.standIn && dueMs > nowMs && dueMs < nowMs + CUT_MS && isElsewhere(order.task, host)).length
    const host = cell.hosts.reduce((best, each) => countLate(each) > countLate(best) ? each : best)
    recorder.say(`${host.hostId} is cut off and starts again, with ${countLate(host)} late orders on their way to it`)
    host.restartBehindCut()
    await sleep(CUT_MS)
    host.forwarder.heal()
    await restarted
  }
  await sleep(10_000)
  for (const { task, runs } of doubled) recorder.say(`${task}: ${runs} at the same time`)
  recorder.say(`${calls.length} submissions of ${TASKS} tasks, ${late.length} late orders, ${doubled.length} tasks that ran twice at the same time`)
  return doubled.length > 0
})
