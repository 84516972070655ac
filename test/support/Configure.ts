/**
 * Writes the example services of both deployments into a cell's store, as an operator would do.
 */

import { FRASER_EXAMPLE, PAWPRINT_EXAMPLE } from '../../src/common/config/ExampleServices.js'
import { configKey, encodeEntry } from '../../src/common/config/ConfigCodec.js'
import { KEY_VALUE_DEFAULTS, KeyValueClient } from '../../src/runtime/KeyValueClient.js'
import { SeededRandom } from '../../src/common/Random.js'
import { SystemClock } from '../../src/common/Clock.js'

import type { ConfigKind, IConfigEntry } from '../../src/common/config/Types.js'

export async function configureExamples (storeUrl: string): Promise<void> {
  const store = new KeyValueClient({ ...KEY_VALUE_DEFAULTS, url: storeUrl }, new SystemClock(), new SeededRandom(1))
  for (const example of [PAWPRINT_EXAMPLE, FRASER_EXAMPLE]) {
    for (const team of example.teams) await put(store, 'team', team)
    for (const profile of example.profiles) await put(store, 'profile', profile)
    for (const service of example.services) await put(store, 'service', service)
  }
  store.dispose()
}

async function put (store: KeyValueClient, kind: ConfigKind, value: NonNullable<IConfigEntry['value']>): Promise<void> {
  const entry: IConfigEntry = {
    kind, name: value.name, revision: 1, deleted: false, value, writer: 'examples', nonce: `examples-${value.name}`, changedAt: Date.now()
  }
  await store.compareAndSwap(configKey(kind, value.name), 0, encodeEntry(entry))
}
