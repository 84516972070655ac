/**
 * Measures the real worker sessions and client against stand-ins in another process: bytes and processor time per idle host,
 * per running task and per task that starts and ends; and memory per host.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { WorkerClient } from '../../src/runtime/WorkerClient.js'
import { WorkerSession } from '../../src/scheduler/jobs/WorkerSession.js'
import { startProcess } from '../../test/support/Processes.js'
import { heapBytes, pause, processorUsPerSecond } from './Readings.js'
import { printSlope } from './Slope.js'
import { SocketMeter } from './SocketMeter.js'
import { hostAt, SILENT_LOG } from './Hosts.js'

import type { IWorkerEvents } from '../../src/scheduler/jobs/Types.js'
import type { ProcessHandle } from '../../test/support/Processes.js'

const HOSTS = [160, 480, 960]
const TASKS = [2, 6, 14]
const TASK_HOSTS = 160
const STARTS_PER_SECOND = [100, 300, 900]
/** Slightly longer than one long poll of each host. */
const QUIET_MS = 5_050
const STARTS_MS = 2_000
const SHORT_RUN_MS = 300
const MS_PER_SECOND = 1_000
const TICK_MS = 10

const EVENTS: IWorkerEvents = {
  onAdopted: () => {},
  onRunning: () => {},
  onEnded: () => {},
  onNotStarted: () => {},
  onUsage: () => {},
  onHostChanged: () => {},
  onFenced: () => {}
}

interface IReading {
  readonly bytesPerSecond: number
  readonly usPerSecond: number
}

class WorkerRig {
  private readonly _client = new WorkerClient()
  private readonly _meter = new SocketMeter()
  private _startedCount = 0

  private constructor (private readonly _standIns: ProcessHandle, private readonly _sessions: readonly WorkerSession[]) {}

  public static async start (hosts: number): Promise<WorkerRig> {
    const handle = startProcess('test/standins/worker.js', ['--count', String(hosts), '--cores', '100000'])
    const { url, urls } = await handle.ready
    const sessions: WorkerSession[] = []
    const rig = new WorkerRig(handle, sessions)
    const clock = new SystemClock()
    const context = { client: rig._client, shards: { confirm: async () => true }, clock, timers: clock, log: SILENT_LOG }
    const hostUrls = urls ?? [url]
    for (const [index, hostUrl] of hostUrls.entries()) {
      const session = new WorkerSession(hostAt('worker', index, hostUrl), { shardId: `workers/rack-${index}`, epoch: 1 }, context, EVENTS)
      sessions.push(session)
      session.begin()
      await pause(MS_PER_SECOND / hostUrls.length)
    }
    await pause(MS_PER_SECOND / 2)
    return rig
  }

  public startTasks (perHost: number): void {
    for (const session of this._sessions) for (let task = 0; task < perHost; task++) this._startTask(session, undefined)
  }

  public async measureQuiet (): Promise<IReading> {
    const bytes = this._meter.bytes
    const startMs = performance.now()
    const usPerSecond = await processorUsPerSecond(QUIET_MS)
    return { usPerSecond, bytesPerSecond: (this._meter.bytes - bytes) / (performance.now() - startMs) * MS_PER_SECOND }
  }

  /** Starts short tasks at this rate, with one call for each task unless several start in one turn of the event loop. */
  public async measureStarts (perSecond: number): Promise<IReading> {
    const startMs = performance.now()
    let started = 0
    const timer = setInterval(() => {
      const due = Math.floor((performance.now() - startMs) / MS_PER_SECOND * perSecond)
      for (; started < due; started++) this._startTask(this._sessions[started % this._sessions.length] as WorkerSession, SHORT_RUN_MS)
    }, TICK_MS)
    const bytes = this._meter.bytes
    const usPerSecond = await processorUsPerSecond(STARTS_MS)
    clearInterval(timer)
    return { usPerSecond, bytesPerSecond: (this._meter.bytes - bytes) / STARTS_MS * MS_PER_SECOND }
  }

  public async dispose (): Promise<void> {
    for (const session of this._sessions) session.dispose()
    this._client.dispose()
    this._meter.dispose()
    await this._standIns.kill()
  }

  private _startTask (session: WorkerSession, runMs: number | undefined): void {
    this._startedCount += 1
    const resources = { cores: 1, memoryBytes: 2 ** 20, accelerators: 0 }
    session.start({ jobId: `job-${this._startedCount}`, taskId: 'task-0', attempt: 1, service: 'match-model', resources, runMs })
  }
}

function printSlopes (slope: string, points: ReadonlyArray<readonly [number, IReading]>): void {
  printSlope({ slope: `${slope}, bytes a second`, unit: 'bytes/s', points: points.map(([size, { bytesPerSecond }]) => [size, bytesPerSecond]) })
  printSlope({ slope: `${slope}, processor time`, unit: 'us/s', points: points.map(([size, { usPerSecond }]) => [size, usPerSecond]) })
}

async function measureRunning (rig: WorkerRig, perTask: Array<readonly [number, IReading]>): Promise<void> {
  for (const [index, tasks] of TASKS.entries()) {
    rig.startTasks(tasks - (TASKS[index - 1] ?? 0))
    await pause(MS_PER_SECOND)
    perTask.push([tasks * TASK_HOSTS, await rig.measureQuiet()])
  }
}

export async function measureWorkers (): Promise<void> {
  const perHost: Array<readonly [number, IReading]> = []
  const perTask: Array<readonly [number, IReading]> = []
  const perStart: Array<readonly [number, IReading]> = []
  const memory: Array<readonly [number, number]> = []
  for (const hosts of HOSTS) {
    const beforeBytes = heapBytes()
    const rig = await WorkerRig.start(hosts)
    memory.push([hosts, heapBytes() - beforeBytes])
    perHost.push([hosts, await rig.measureQuiet()])
    if (hosts === TASK_HOSTS) {
      for (const rate of STARTS_PER_SECOND) perStart.push([rate, await rig.measureStarts(rate)])
      await measureRunning(rig, perTask)
    }
    await rig.dispose()
  }
  printSlope({ slope: 'workers: heap per session with its connections', unit: 'bytes', points: memory })
  printSlopes('workers: per host', perHost)
  printSlopes('workers: per running task', perTask)
  printSlopes('workers: per start and end a second', perStart)
}
