/**
 * Which process is chosen as the successor of an owner that stops.
 */

import test from 'ava'
import { chooseSuccessor } from './Successor.js'

function offer (processId: string, incarnation: number, yieldMs = 20, isWilling = true) {
  return { processId, peerUrl: '', incarnation, yieldMs, isWilling }
}

test('the cell goes to the process that started last, of those near the store', (t) => {
  t.is(chooseSuccessor([offer('old', 1), offer('new', 9, 60), offer('far', 10, 200), offer('middle', 5)])?.processId, 'new')
})

test('in a cell whose machines are stopped in turn, the owner changes at most twice', (t) => {
  // Each machine is stopped once, from the first to the last, and restarted. With any other choice of successor, callers would
  // wait for a takeover with every machine.
  const incarnations = new Map(Array.from({ length: 9 }, (_, number) => [`m${number}`, number]))
  let owner = 'm4'
  let changes = 0
  for (let number = 0; number < 9; number += 1) {
    const stopping = `m${number}`
    if (owner === stopping) {
      owner = chooseSuccessor([...incarnations].filter(([id]) => id !== stopping).map(([id, started]) => offer(id, started)))?.processId ?? ''
      changes += 1
    }
    incarnations.set(stopping, 100 + number)
  }
  t.true(changes <= 2, `${changes}`)
})

test('without a willing process there is no successor', (t) => {
  t.is(chooseSuccessor([]), undefined)
  t.is(chooseSuccessor([offer('stops too', 1, 0, false)]), undefined)
})
