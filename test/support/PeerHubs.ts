/**
 * Hubs on ephemeral ports of 127.0.0.1 for the tests of the links.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { DisposableStore } from '../../src/common/Emitter.js'
import { SeededRandom } from '../../src/common/Random.js'
import type { IDisposable, IProcessIdentity } from '../../src/common/Types.js'
import { PeerHub } from '../../src/peer/PeerHub.js'
import type { PeerHubSettings } from '../../src/peer/PeerHubOptions.js'

export const TEST_KEY = 'a key for the tests only'

const FAST: PeerHubSettings = { sharedKey: TEST_KEY, minBackoffMs: 10, maxBackoffMs: 100, handshakeTimeoutMs: 500 }

export function identity (processId: string, incarnation = 1, region = 'west'): IProcessIdentity {
  return { processId, incarnation, region, failureDomain: `${region}-1` }
}

const ended = new DisposableStore()

/** To be called after the tests of a file, so that a failed one leaves nothing running. */
export function disposeAll (): void {
  ended.dispose()
}

/** Disposes something after the tests of a file. */
export function disposeLater<T extends IDisposable> (item: T): T {
  return ended.add(item)
}

/** A started hub and its url. */
export async function startHub (self: IProcessIdentity, settings: Partial<PeerHubSettings> = {}): Promise<{ hub: PeerHub, url: string }> {
  const clock = new SystemClock()
  const hub = disposeLater(new PeerHub(self, { ...FAST, ...settings }, { clock, timers: clock, random: new SeededRandom(7) }))
  const url = (await hub.start())._unsafeUnwrap()
  return { hub, url }
}
