/**
 * Peer hubs on ephemeral ports of 127.0.0.1, for the tests of the links between processes.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { DisposableStore } from '../../src/common/Emitter.js'
import { SeededRandom } from '../../src/common/Random.js'
import type { IDisposable, IProcessIdentity } from '../../src/common/Types.js'
import { PeerHub } from '../../src/peer/PeerHub.js'
import type { PeerHubSettings } from '../../src/peer/PeerHubOptions.js'

export const TEST_KEY = 'a key for the tests only'

const FAST_SETTINGS: PeerHubSettings = { sharedKey: TEST_KEY, minBackoffMs: 10, maxBackoffMs: 100, handshakeTimeoutMs: 500 }

export function identity (processId: string, incarnation = 1, region = 'west'): IProcessIdentity {
  return { processId, incarnation, region, failureDomain: `${region}-1` }
}

const disposables = new DisposableStore()

/** Call this after the tests of a file, so that a failed test leaves nothing running. */
export function disposeAll (): void {
  disposables.dispose()
}

/** Registers an object that `disposeAll` disposes of. */
export function disposeLater<T extends IDisposable> (item: T): T {
  return disposables.add(item)
}

/** Starts a hub; resolves with it and its URL. */
export async function startHub (self: IProcessIdentity, settings: Partial<PeerHubSettings> = {}): Promise<{ hub: PeerHub, url: string }> {
  const clock = new SystemClock()
  const hub = disposeLater(new PeerHub(self, { ...FAST_SETTINGS, ...settings }, { clock, timers: clock, random: new SeededRandom(7) }))
  const url = (await hub.start())._unsafeUnwrap()
  return { hub, url }
}
