/**
 * Measures peer links: bytes and processor time of one end per idle link, per call and per KiB of body.
 */

import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'

import { SystemClock } from '../../src/common/Clock.js'
import { SeededRandom } from '../../src/common/Random.js'
import { PeerHub } from '../../src/peer/PeerHub.js'
import { SETTINGS_DEFAULTS } from '../../src/runtime/settings/SettingsDefaults.js'
import { pause, processorUsOf, processorUsPerSecond } from './Readings.js'
import { printSlope } from './Slope.js'

import type { ChildProcess } from 'node:child_process'
import type { IPeerLink } from '../../src/peer/Types.js'

const SHARED_KEY = 'a key for the bench only'
const LINKS = [20, 60, 180]
const CALLS = [4_000, 8_000, 16_000]
const BODY_KIB = [0, 4, 16]
const BODY_CALLS = 4_000
const IN_FLIGHT = 16
const IDLE_MS = 3_000
const TIMEOUT_MS = 10_000
const POLL_MS = 20
const KIB = 1_024

type Points = Array<readonly [number, number]>

class LinkRig {
  private _sentCount = 0

  private constructor (private readonly _child: ChildProcess, public readonly hub: PeerHub) {}

  public static async start (links: number): Promise<LinkRig> {
    const { heartbeatMs, silenceMs } = SETTINGS_DEFAULTS.peer
    const child = fork(fileURLToPath(new URL('LinkChild.js', import.meta.url)), [SHARED_KEY, links, heartbeatMs, silenceMs].map(String))
    const urls = await new Promise<readonly string[]>((resolve) => { child.once('message', (message) => { resolve(message as string[]) }) })
    const clock = new SystemClock()
    const self = { processId: 'caller', incarnation: 1, region: 'west', failureDomain: 'west-1' }
    const settings = { sharedKey: SHARED_KEY, heartbeatMs, silenceLimitMs: silenceMs }
    const hub = new PeerHub(self, settings, { clock, timers: clock, random: new SeededRandom(1) })
    urls.forEach((url, index) => { hub.dial(url, `callee-${index}`) })
    while (hub.links().length < links) await pause(POLL_MS)
    return new LinkRig(child, hub)
  }

  public trafficBytes (): number {
    const { sentBytes, receivedBytes } = this.hub.traffic()
    return sentBytes + receivedBytes
  }

  public async sendCalls (count: number, bodyBytes: number): Promise<void> {
    const link = this.hub.links()[0] as IPeerLink
    const body = Buffer.alloc(bodyBytes, 7)
    let remaining = count
    const caller = async (): Promise<void> => { while (remaining-- > 0) await this._sendCall(link, body) }
    await Promise.all(Array.from({ length: IN_FLIGHT }, caller))
  }

  public dispose (): void {
    this.hub.dispose()
    this._child.disconnect()
  }

  private async _sendCall (link: IPeerLink, body: Uint8Array): Promise<void> {
    this._sentCount += 1
    const request = { service: 'chip-lookup', caller: 'pawprint', idempotent: true, remainingMs: 950, contentType: 'application/json', body, ageMs: 0, hops: 0 }
    const result = await link.call('submit', { ...request, attemptId: `gw-3:${this._sentCount}`, requestId: `r-${this._sentCount}` }, TIMEOUT_MS)
    if (result.isErr()) throw result.error
  }
}

async function measureIdle (): Promise<void> {
  const bytes: Points = []
  const time: Points = []
  for (const links of LINKS) {
    const rig = await LinkRig.start(links)
    await pause(IDLE_MS / 3)
    const before = rig.trafficBytes()
    time.push([links, await processorUsPerSecond(IDLE_MS)])
    bytes.push([links, (rig.trafficBytes() - before) / IDLE_MS * 1_000])
    rig.dispose()
  }
  printSlope({ slope: 'links: bytes of an idle link', unit: 'bytes/s', points: bytes })
  printSlope({ slope: 'links: processor time of an idle link', unit: 'us/s', points: time })
}

export async function measureLinks (): Promise<void> {
  await measureIdle()
  const rig = await LinkRig.start(1)
  await rig.sendCalls(CALLS.at(-1) ?? 0, 0)
  const time: Points = []
  const bytes: Points = []
  for (const calls of CALLS) {
    const before = rig.trafficBytes()
    time.push([calls, await processorUsOf(async () => { await rig.sendCalls(calls, 0) })])
    bytes.push([calls, rig.trafficBytes() - before])
  }
  const perKib: Points = []
  for (const size of BODY_KIB) perKib.push([size, await processorUsOf(async () => { await rig.sendCalls(BODY_CALLS, size * KIB) }) / BODY_CALLS])
  rig.dispose()
  printSlope({ slope: 'links: caller\'s processor time per call', unit: 'us', points: time })
  printSlope({ slope: 'links: bytes per call and reply without body', unit: 'bytes', points: bytes })
  printSlope({ slope: 'links: caller\'s processor time per KiB sent and got back', unit: 'us', points: perKib })
}
