/**
 * A runner that fails all that it starts for 6.5 s stays without work for half a minute after it has recovered. Work that only this runner
 * may run waits for as long, and is still waiting when the submissions are asked for after the end of the traffic.
 */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'

import { Cell, runCase, sleep } from '../support-2/cell.mjs'
import { WaitJudge } from '../support-2/waits.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
/** 33 runners, 8 a rack: the last rack has one. */
const HOSTS = Array.from({ length: 33 }, (_, number) => ({ rack: `r${1 + Math.floor(number / 8)}`, cpu: 32_000 }))
const LAST_RACK = 'r5'
/** The runners of `srv_grey`: 0.085 of 33. */
const GREY_HOSTS = new Set(['i-00000020', 'i-00000003', 'i-00000011'])
const GREY_AT_MS = 6000
const GREY_FOR_MS = 6500
const TRAFFIC_MS = 14_000
/** Each submission has one task of this size and length. */
const TASK = { cpu: 2000, workMs: 1000 }
const SUBMIT_EVERY_MS = 500
/** `finish_s` after the end of the traffic, submissions are judged; they are watched for some seconds from then on. */
const FINISH_MS = 14_000
const WATCHED_MS = 8000

await runCase(FOLDER, async (recorder, isTrouble, setCell) => {
  const greyRuns = new Set()
  let isGrey = false
  const cell = new Cell(recorder, {
    routes: [{ name: 'r-batch', prefix: '/batch/', priority: 1 }],
    workMs: () => TASK.workMs,
    fails: (task, run) => greyRuns.has(`${task} ${run}`)
  })
  setCell(cell)
  const judge = new WaitJudge(cell, ({ rack }) => rack === LAST_RACK, TASK.cpu)
  cell.onStart = (hostId, task, run) => {
    if (isGrey && GREY_HOSTS.has(hostId)) greyRuns.add(`${task} ${run}`)
    judge.onStart(task)
  }
  cell.onEnd = (_hostId, task, _run, outcome) => { judge.onEnd(task, outcome) }
  await cell.start(3, HOSTS)
  const startedAtMs = performance.now()
  const setGrey = (value) => {
    isGrey = value
    recorder.add(value ? `${[...GREY_HOSTS].join(', ')} fail all that they start` : 'these runners are sound again')
  }
  if (isTrouble) {
    setTimeout(() => { setGrey(true) }, GREY_AT_MS)
    setTimeout(() => { setGrey(false) }, GREY_AT_MS + GREY_FOR_MS)
  }
  const submitting = []
  for (let number = 0; performance.now() - startedAtMs < TRAFFIC_MS; number += 1) {
    const jobId = (0x4000 + number).toString(16).padStart(16, '0')
    const step = { count: 1, cpu: TASK.cpu, memMb: 1000, estimateMs: TASK.workMs, requiredLabel: LAST_RACK }
    submitting.push(cell.submit(`/batch/${jobId}`, JSON.stringify({ spec: 'reads what lies in this rack', steps: [step] })).then((isAccepted) => {
      if (isAccepted) judge.addTask(`${jobId}.0.0.0`)
    }))
    await sleep(SUBMIT_EVERY_MS)
  }
  await Promise.all(submitting)
  recorder.add('end of the traffic')
  await sleep(FINISH_MS)
  recorder.add('the submissions are asked for')
  for (const task of judge.openTasks()) await cell.call(cell.controllers[1], 'GET', `/batch/${task.split('.')[0]}`)
  await judge.watch(WATCHED_MS)
  return judge.broken()
})
