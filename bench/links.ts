/**
 * Measures the throughput of a peer link: requests and replies with bodies of 1 KB between two processes, and their processor time.
 *
 *     npm run bench -- links
 */

import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'

import type { ChildProcess } from 'node:child_process'
import { SystemClock } from '../src/common/Clock.js'
import type { ISubmitRequest } from '../src/common/protocol/Types.js'
import { SeededRandom } from '../src/common/Random.js'
import { PeerHub } from '../src/peer/PeerHub.js'
import type { IPeerLink } from '../src/peer/Types.js'

const SHARED_KEY = 'a key for the bench only'
const BODY_BYTES = 1_024
const TIMEOUT_MS = 10_000
const WARM_UP_REQUESTS = 50_000
const IN_FLIGHT = [1, 16, 256]
const REQUESTS = 100_000
const OPEN_REQUESTS = 25_000
const OPEN_PER_MS = 5
const US_PER_MS = 1_000

interface ILoadRun {
  readonly requests: number
  readonly elapsedMs: number
  readonly callerCpuMs: number
  readonly calleeCpuMs: number
}

class LinkBench {
  private _sent = 0
  private readonly _body = Buffer.alloc(BODY_BYTES, 7)

  public constructor (private readonly _link: IPeerLink, private readonly _callee: ChildProcess) {}

  /** Keeps `inFlight` requests in flight all the time. */
  public async runClosedLoop (requests: number, inFlight: number): Promise<ILoadRun> {
    return this._measure(requests, async () => {
      let remaining = requests
      const caller = async (): Promise<void> => { while (remaining-- > 0) await this._request() }
      await Promise.all(Array.from({ length: inFlight }, caller))
    })
  }

  /** Sends 5,000 requests/s without waiting for earlier replies, and adds the latency of each to `latenciesMs`. */
  public async runOpenLoop (latenciesMs: number[]): Promise<ILoadRun> {
    return this._measure(OPEN_REQUESTS, async () => {
      const startMs = performance.now()
      const running: Array<Promise<void>> = []
      while (running.length < OPEN_REQUESTS) {
        const dueCount = Math.min(OPEN_REQUESTS, (performance.now() - startMs) * OPEN_PER_MS)
        while (running.length < dueCount) running.push(this._requestTimed(latenciesMs))
        await new Promise((resolve) => { setTimeout(resolve, 1) })
      }
      await Promise.all(running)
    })
  }

  private async _requestTimed (latenciesMs: number[]): Promise<void> {
    const startMs = performance.now()
    await this._request()
    latenciesMs.push(performance.now() - startMs)
  }

  private async _request (): Promise<void> {
    this._sent += 1
    const request: ISubmitRequest = {
      attemptId: `gw-3:${this._sent}`,
      service: 'chip-lookup',
      caller: 'pawprint',
      requestId: `r-${this._sent}`,
      idempotent: true,
      remainingMs: 950,
      contentType: 'application/json',
      body: this._body,
      ageMs: 0,
      hops: 0
    }
    const result = await this._link.call('submit', request, TIMEOUT_MS)
    if (result.isErr()) throw result.error
  }

  private async _measure (requests: number, work: () => Promise<void>): Promise<ILoadRun> {
    const calleeBeforeMs = await this._calleeCpuMs()
    const before = process.cpuUsage()
    const startMs = performance.now()
    await work()
    const elapsedMs = performance.now() - startMs
    const { user, system } = process.cpuUsage(before)
    return { requests, elapsedMs, callerCpuMs: (user + system) / US_PER_MS, calleeCpuMs: await this._calleeCpuMs() - calleeBeforeMs }
  }

  private async _calleeCpuMs (): Promise<number> {
    this._callee.send('cpu')
    return await nextMessage(this._callee) as number
  }
}

function nextMessage (child: ChildProcess): Promise<unknown> {
  return new Promise((resolve) => { child.once('message', resolve) })
}

function print (load: string, run: ILoadRun, extra: object = {}): void {
  const { requests, elapsedMs, callerCpuMs, calleeCpuMs } = run
  console.log(JSON.stringify({
    bench: 'links',
    load,
    requestsPerSecond: Math.round(requests / elapsedMs * 1_000),
    callerUsPerRequest: Math.round(callerCpuMs * 10_000 / requests) / 10,
    calleeUsPerRequest: Math.round(calleeCpuMs * 10_000 / requests) / 10,
    callerCoreShare: Math.round(callerCpuMs / elapsedMs * 100) / 100,
    calleeCoreShare: Math.round(calleeCpuMs / elapsedMs * 100) / 100,
    ...extra
  }))
}

async function connectLink (hub: PeerHub, url: string): Promise<IPeerLink> {
  return new Promise((resolve) => {
    hub.onLink(resolve)
    hub.dial(url, 'callee')
  })
}

export async function run (_args: readonly string[]): Promise<void> {
  const callee = fork(fileURLToPath(new URL('linksCallee.js', import.meta.url)), [SHARED_KEY])
  const clock = new SystemClock()
  const self = { processId: 'caller', incarnation: 1, region: 'west', failureDomain: 'west-1' }
  const hub = new PeerHub(self, { sharedKey: SHARED_KEY }, { clock, timers: clock, random: new SeededRandom(1) })
  const bench = new LinkBench(await connectLink(hub, await nextMessage(callee) as string), callee)
  await bench.runClosedLoop(WARM_UP_REQUESTS, 64)
  for (const inFlight of IN_FLIGHT) print(`closed, ${inFlight} in flight`, await bench.runClosedLoop(REQUESTS, inFlight))
  const latenciesMs: number[] = []
  const open = await bench.runOpenLoop(latenciesMs)
  latenciesMs.sort((a, b) => a - b)
  const latencyMs = (share: number): number => Math.round((latenciesMs[Math.floor(latenciesMs.length * share)] ?? 0) * 100) / 100
  print('open, 5,000 requests/s', open, { p50Ms: latencyMs(0.5), p99Ms: latencyMs(0.99) })
  hub.dispose()
  callee.disconnect()
}
