/**
 * Measures the cost of asking each runner for its status, and of reading the whole host list.
 */

import { request } from 'undici'

import { SystemClock } from '../../src/common/Clock.js'
import { HostListClient } from '../../src/runtime/HostListClient.js'
import { RunnerClient } from '../../src/runtime/RunnerClient.js'
import { HostDirectory } from '../../src/scheduler/hosts/HostDirectory.js'
import { RunnerSession } from '../../src/scheduler/hosts/RunnerSession.js'
import { startProcess } from '../../test/support/Processes.js'
import { hostAt, SILENT_LOG } from './Hosts.js'
import { heapBytes, pause, processorUsOf, processorUsPerSecond } from './Readings.js'
import { printSlope } from './Slope.js'
import { SocketMeter } from './SocketMeter.js'

const RUNNERS = [120, 360, 840]
const LISTED = [1_000, 4_000, 16_000]
const QUIET_MS = 2_000
const START_MS = 1_000
const POLLS = 3
const CALL_TIMEOUT_MS = 10_000

type Points = Array<readonly [number, number]>

async function measureStatus (): Promise<void> {
  const bytes: Points = []
  const time: Points = []
  for (const count of RUNNERS) {
    const handle = startProcess('test/standins/runner.js', ['--count', String(count)])
    const { url, urls } = await handle.ready
    const clock = new SystemClock()
    const client = new RunnerClient()
    const meter = new SocketMeter()
    const sessions: RunnerSession[] = []
    const events = { onStatus: () => {}, onStateChange: () => {}, onFenced: () => {} }
    for (const [index, hostUrl] of (urls ?? [url]).entries()) {
      const fence = { shardId: `runners/rack-${index}`, epoch: 1 }
      const session = new RunnerSession(hostAt('runner', index, hostUrl), fence, client, clock, SILENT_LOG, events)
      session.start()
      sessions.push(session)
      await pause(START_MS / count)
    }
    await pause(START_MS)
    const before = meter.bytes
    time.push([count, await processorUsPerSecond(QUIET_MS)])
    bytes.push([count, (meter.bytes - before) / QUIET_MS * 1_000])
    for (const session of sessions) session.dispose()
    client.dispose()
    meter.dispose()
    await handle.kill()
  }
  printSlope({ slope: 'runners: status asked once a second, bytes per runner', unit: 'bytes/s', points: bytes })
  printSlope({ slope: 'runners: status asked once a second, processor time per runner', unit: 'us/s', points: time })
}

async function measureHostList (): Promise<void> {
  const handle = startProcess('test/standins/hostList.js')
  const { url } = await handle.ready
  const bytes: Points = []
  const time: Points = []
  const memory: Points = []
  const clock = new SystemClock()
  for (const [step, count] of LISTED.entries()) {
    const from = LISTED[step - 1] ?? 0
    const put = Array.from({ length: count - from }, (_, index) => hostAt('worker', from + index, `http://10.1.2.3:${4_000 + index % 1_000}`))
    await (await request(`${url}/control`, { method: 'POST', body: JSON.stringify({ put }) })).body.dump()
    const beforeBytes = heapBytes()
    const meter = new SocketMeter()
    const directory = new HostDirectory(new HostListClient({ url, callTimeoutMs: CALL_TIMEOUT_MS }), clock, CALL_TIMEOUT_MS, SILENT_LOG)
    await directory.poll()
    memory.push([count, heapBytes() - beforeBytes])
    const readBytes = meter.bytes
    time.push([count, await processorUsOf(async () => { for (let poll = 0; poll < POLLS; poll++) await directory.poll() }) / POLLS])
    bytes.push([count, (meter.bytes - readBytes) / POLLS])
    meter.dispose()
    directory.dispose()
  }
  await handle.kill()
  printSlope({ slope: 'host list: bytes per host and poll', unit: 'bytes', points: bytes })
  printSlope({ slope: 'host list: processor time per host and poll', unit: 'us', points: time })
  printSlope({ slope: 'host list: memory per host', unit: 'bytes', points: memory })
}

export async function measureRunners (): Promise<void> {
  await measureStatus()
  await measureHostList()
}
