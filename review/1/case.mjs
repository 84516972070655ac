/**
 * A gang waits, and a host is lost for good, so that the gang doesn't fit on the hosts any more. Then the tenant of the gang submits small
 * jobs. All hosts are idle, and the tenant uses nothing of its maximum.
 */

import { dirname } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { PlatformStandIn } from '../../dist/platform/standins/PlatformStandIn.js'
import { BOUNDS, call, Controllers, runCase, until } from '../support/deployment.mjs'

const HOSTS = 8
const HOST_CPU = 4000
const GANG_CPU = 3000
const SMALL_CPU = 1000
const SMALL_JOBS = 5
const TENANT = { name: 'tenant-a', keys: ['key-a'], maxCpu: HOSTS * GANG_CPU }
const OTHER = { name: 'tenant-b', keys: ['key-b'], maxCpu: HOSTS * GANG_CPU }
/** The stand-in runs the tasks of this job for 3.8 s, and those of the others for 0.1 to 0.5 s. */
const LONG_JOB = 'bbbbbbbbbb00018f'
const GANG_JOB = 'aaaaaaaaaaff0010'
const SMALL_PAUSE_MS = 300
/** How long a submission must have nothing running, in ms. */
const IDLE_MS = 3000

function smallJob (number) {
  return `aaaaaaaaaa1100${(0x10 + number).toString(16)}`
}

function jobBody (step) {
  return { spec: 'work', steps: [{ memMb: 10, estimateMs: 400, ...step }] }
}

async function play (record, hasTrouble) {
  const started = new Set()
  const running = new Map()
  const platform = new PlatformStandIn({ seed: 1, hosts: HOSTS, hostCpu: HOST_CPU, maxHoldMs: BOUNDS.maxHoldMs, failShare: 0, workspaces: [TENANT, OTHER] })
  await platform.start({
    onStart: (hostId, task, run) => {
      record.add(`${hostId} starts ${task} run ${run}`)
      started.add(task.slice(0, 16))
      running.set(`${task}@${hostId}`, task.slice(0, 16))
    },
    onEnd: (hostId, task, run, outcome) => {
      record.add(`${hostId} ends ${task} run ${run}: ${outcome}`)
      running.delete(`${task}@${hostId}`)
    },
    onAcknowledged: () => {},
    onLapse: () => {},
    onListLost: () => {}
  })
  const controllers = new Controllers(platform, record)
  try {
    const [first, second] = [await controllers.start('front-1'), await controllers.start('front-2')]
    const submit = async (jobId, tenant, step) => {
      for (;;) {
        const { status } = await call(record, first, 'POST', `/batch/${jobId}`, { body: jobBody(step), key: tenant.keys[0] })
        if (status === 200) return
        if (record.nowMs > 20_000) throw new Error(`${jobId} is not accepted`)
        await pause(100)
      }
    }
    await submit(LONG_JOB, OTHER, { count: 1, cpu: 2000, estimateMs: 3800 })
    if (!await until(() => started.has(LONG_JOB), 10_000)) throw new Error('the first job does not start')
    await submit(GANG_JOB, TENANT, { count: HOSTS, cpu: GANG_CPU, gang: true })
    if (started.has(GANG_JOB)) throw new Error('the gang did not have to wait')
    if (hasTrouble) {
      const lost = platform.hosts.find(({ host }) => host.running.size === 0)
      record.add(`${lost.hostId} is lost for good`)
      lost.host.leave()
      lost.registration.isCut = true
    }
    await pause(8000)
    const small = Array.from({ length: SMALL_JOBS }, (_, number) => smallJob(number))
    for (const jobId of small) {
      await submit(jobId, TENANT, { count: 1, cpu: SMALL_CPU })
      await pause(SMALL_PAUSE_MS)
    }
    record.add('end of the traffic')
    await pause(BOUNDS.finishMs)
    record.add(`${BOUNDS.finishMs / 1000} s after the end of the traffic: ${running.size} tasks run`)
    const waiting = small.filter((jobId) => !started.has(jobId))
    const hasRun = await until(() => running.size > 0, IDLE_MS)
    for (const jobId of small) await call(record, second, 'GET', `/batch/${jobId}`, { key: TENANT.keys[0] })
    const idle = waiting.filter((jobId) => !started.has(jobId))
    if (hasRun) return []
    return idle.map((jobId) => `LOST: ${jobId} was accepted, has nothing running for ${IDLE_MS} ms, while nothing else runs on any host or for its tenant`)
  } finally {
    await controllers.close()
    await platform.close()
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), play)
