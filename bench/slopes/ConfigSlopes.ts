/**
 * Measures the configuration replica: memory per entry, and processor time and bytes per change that a process applies.
 */

import { checkEntry, decodeEntry, encodeEntry } from '../../src/common/config/ConfigCodec.js'
import { ConfigReplica } from '../../src/common/config/ConfigReplica.js'
import { heapBytes, processorUsOf } from './Readings.js'
import { printFigures, printSlope } from './Slope.js'
import { profileOf } from '../decisions/Arrivals.js'

import type { IConfigEntry } from '../../src/common/config/Types.js'

const ENTRIES = [1_000, 4_000, 16_000]
const CHANGES = [5_000, 10_000, 20_000]
const WARM_UP = 20_000

function encodeProfile (index: number, revision: number): string {
  const name = `profile-${index}`
  return encodeEntry({
    kind: 'profile', name, revision, deleted: false, value: profileOf({ name }), writer: 'operator-1', nonce: `nonce-${index}-${revision}`, changedAt: 1.7e12
  })
}

function decodeProfile (index: number, revision: number): readonly IConfigEntry[] {
  return decodeEntry('config', encodeProfile(index, revision)).match((entry) => [entry], () => [])
}

function createReplica (count: number): ConfigReplica {
  const replica = new ConfigReplica()
  for (let index = 0; index < count; index++) replica.apply(decodeProfile(index, 1))
  return replica
}

export async function measureConfig (): Promise<void> {
  const replicas: ConfigReplica[] = []
  const emptyBytes = heapBytes()
  let heldBytes = emptyBytes
  const memory = ENTRIES.map((count): readonly [number, number] => {
    replicas.push(createReplica(count))
    const nowBytes = heapBytes()
    const bytes = nowBytes - heldBytes
    heldBytes = nowBytes
    return [count, bytes]
  })
  printSlope({ slope: 'config: memory per entry', unit: 'bytes', points: memory })
  const replica = replicas[0] ?? createReplica(1_000)
  for (let index = 0; index < WARM_UP; index++) replica.apply(decodeProfile(index % 1_000, 2 + Math.floor(index / 1_000)))
  const store: Array<readonly [number, number]> = []
  const peer: Array<readonly [number, number]> = []
  let revision = 100
  for (const count of CHANGES) {
    const texts = Array.from({ length: count }, (_, index) => encodeProfile(index % 1_000, revision + Math.floor(index / 1_000)))
    revision += 100
    const apply = (): void => { for (const text of texts) decodeEntry('config', text).map((entry) => replica.apply([entry])) }
    store.push([count, await processorUsOf(apply)])
    const entries = texts.map((_, index) => decodeProfile(index % 1_000, revision + Math.floor(index / 1_000))).flat()
    revision += 100
    const applyChecked = (): void => { for (const entry of entries) checkEntry('peer', entry).map((checked) => replica.apply([checked])) }
    peer.push([count, await processorUsOf(applyChecked)])
  }
  printSlope({ slope: 'config: time per change from the store', unit: 'us', points: store })
  printSlope({ slope: 'config: time per change from a peer', unit: 'us', points: peer })
  printFigures({ figure: 'config: bytes of one change', bytes: Buffer.byteLength(encodeProfile(1, 1)) })
}
