/**
 * The fencing tokens of owners for a host.
 */

import test from 'ava'
import { HostFence, TOKENS_PER_OWNER } from './HostFence.js'

test('every token of the next owner is above all tokens of the earlier one', (t) => {
  // Otherwise hosts would carry out orders of an owner that has been replaced.
  const fence = new HostFence(7)
  const tokens = [fence.token]
  while (!fence.isExhausted) {
    fence.raise()
    tokens.push(fence.token)
  }
  t.is(new Set(tokens).size, TOKENS_PER_OWNER)
  fence.raise()
  t.is(fence.token, Math.max(...tokens))
  t.true(new HostFence(8).token > fence.token)
})
