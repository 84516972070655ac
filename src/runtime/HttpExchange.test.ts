/**
 * Timeouts of a process that is starved of processor time while answers arrive.
 */

import test from 'ava'
import { createServer } from 'node:http'
import { connect, createServer as createSocketServer } from 'node:net'
import { Pool } from 'undici'
import { SystemClock } from '../common/Clock.js'
import { exchange } from './HttpExchange.js'

import type { AddressInfo } from 'node:net'

const TIMEOUT_MS = 80
const STARVED_MS = 3 * TIMEOUT_MS

function starve (): void {
  const untilMs = performance.now() + STARVED_MS
  while (performance.now() < untilMs);
}

test('an answer that arrived while the process was starved counts, although its timeout has passed', async (t) => {
  // If timeouts came first, an overloaded process would drop answers that it already has, and would repeat its requests.
  let receivedAtMs = Infinity
  const server = createServer((_request, response) => {
    receivedAtMs = performance.now()
    response.end('done')
    starve()
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  const request = { step: 'test', peer: 'server', method: 'GET', path: '/', headers: [], timeoutMs: TIMEOUT_MS } as const
  const answers: boolean[] = []
  while (answers.length < 2) {
    const sentAtMs = performance.now()
    receivedAtMs = Infinity
    const answer = await exchange(pool, request)
    // On a busy machine, a request may time out before the server has it. Such an exchange shows nothing.
    if (receivedAtMs - sentAtMs < TIMEOUT_MS) answers.push(answer.isOk())
  }
  t.deepEqual(answers, [true, true])
  await pool.destroy()
})

test('a timer of the clock fires after reading what had arrived by then', async (t) => {
  let receivedAtMs = Infinity
  const server = createSocketServer((socket) => {
    socket.on('data', () => {
      receivedAtMs = performance.now()
      socket.write('reply')
      starve()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  t.teardown(() => { socket.destroy() })
  let seen: string[] = []
  socket.on('data', () => { seen.push('reply') })
  let sentAtMs: number
  do {
    seen = []
    receivedAtMs = Infinity
    sentAtMs = performance.now()
    socket.write('call')
    await new Promise<void>((resolve) => {
      new SystemClock().after(TIMEOUT_MS, () => {
        seen.push('timeout')
        resolve()
      })
    })
    // On a busy machine, the call may arrive only after the timeout. Such a call shows nothing, and its reply may be still to come.
    if (!seen.includes('reply')) await new Promise<void>((resolve) => { socket.once('data', () => { resolve() }) })
  } while (receivedAtMs - sentAtMs >= TIMEOUT_MS)
  t.deepEqual(seen, ['reply', 'timeout'])
})
