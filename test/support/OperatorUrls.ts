/**
 * Reads the URLs of the operator listeners of a cell's schedulers from the member records in the store.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { SeededRandom } from '../../src/common/Random.js'
import { KEY_VALUE_DEFAULTS, KeyValueClient } from '../../src/runtime/KeyValueClient.js'

import type { IMember } from '../../src/common/protocol/Types.js'
import type { Cell } from './Cell.js'

export async function operatorUrls (cell: Cell): Promise<readonly string[]> {
  const store = new KeyValueClient({ ...KEY_VALUE_DEFAULTS, url: cell.storeUrl }, new SystemClock(), new SeededRandom(1))
  const range = (await store.range('members/'))._unsafeUnwrap()
  store.dispose()
  return range.records.map(record => (JSON.parse(record.value) as IMember).operatorUrl)
}
