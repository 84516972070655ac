/**
 * A server whose clients send requests ahead, leave connections idle or stop short of the end of a body.
 */

import { createServer } from 'node:http'
import { connect } from 'node:net'
import test from 'ava'
import { ClientGuard, GUARDED_SERVER } from './ClientGuard.js'
import { eventually } from '../../test/support/Eventually.js'

import type { ExecutionContext } from 'ava'
import type { ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

const BOUNDS = { maxConnections: 4, maxInFlight: 100, maxInFlightPerConnection: 8, maxBodyBytes: 50_000 }
const BODY_BYTES = 30_000

interface IReceived {
  readonly path: string
  readonly body: string
  readonly response: ServerResponse
}

async function setUp (t: ExecutionContext, { answersAtOnce = true, answerTimeoutMs = 10_000, bounds = BOUNDS } = {}) {
  const received: IReceived[] = []
  const limited: string[] = []
  const server = createServer(GUARDED_SERVER, (request, response) => {
    if (!guard.admit(request, response)) return
    guard.bodies.read(request, BODY_BYTES).then((body) => {
      if (body.isErr()) return response.writeHead(body.error.status).end()
      received.push({ path: request.url ?? '', body: Buffer.from(body.value).toString(), response })
      if (answersAtOnce) response.end(request.url)
    }, (error: unknown) => { t.fail(String(error)) })
  })
  const guard = new ClientGuard(server, { bounds, answerTimeoutMs, onLimited: (kind) => { limited.push(kind) } })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const open = async (): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    await new Promise((resolve) => { socket.once('connect', resolve) })
    return socket
  }
  return { received, limited, open, guard }
}

function textOf (socket: Socket): { text: string, isClosed: boolean } {
  const state = { text: '', isClosed: false }
  socket.on('data', (chunk: Buffer) => { state.text += chunk.toString() })
  socket.once('close', () => { state.isClosed = true })
  return state
}

function post (path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

test('requests with large bodies that are sent ahead within the limit are read whole and answered in order', async (t) => {
  const { received, open } = await setUp(t, { bounds: { ...BOUNDS, maxBodyBytes: BOUNDS.maxInFlightPerConnection * BODY_BYTES } })
  const socket = await open()
  const answers = textOf(socket)
  const bodies = Array.from({ length: BOUNDS.maxInFlightPerConnection }, (_, number) => String(number).repeat(BODY_BYTES))
  socket.write(bodies.map((body, number) => post(`/${number}`, body)).join(''))
  await eventually('all are answered', () => answers.text.split('HTTP/1.1 200').length > bodies.length)
  t.deepEqual(received.map(({ body }) => body), bodies)
  t.deepEqual([...answers.text.matchAll(/\r\n\r\n(\/\d)/g)].map(([, path]) => path), bodies.map((_, number) => `/${number}`))
})

test('a connection that sends too many requests ahead is closed, and only those within the limit are served', async (t) => {
  const { received, limited, open } = await setUp(t, { answersAtOnce: false })
  const socket = await open()
  const answers = textOf(socket)
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(5000))
  await eventually('the connection is closed', () => answers.isClosed)
  t.is(received.length, BOUNDS.maxInFlightPerConnection)
  t.deepEqual(limited, ['sentAhead'])
})

test('requests without a host on a connection are answered with 400', async (t) => {
  const { received, open } = await setUp(t)
  const socket = await open()
  const answers = textOf(socket)
  socket.write('GET / HTTP/1.1\r\n\r\n')
  await eventually('the connection is closed', () => answers.isClosed)
  t.true(answers.text.startsWith('HTTP/1.1 400'))
  t.is(received.length, 0)
})

test('a new connection is served while idle ones occupy all places', async (t) => {
  const { limited, open } = await setUp(t)
  const idle = await Promise.all(Array.from({ length: BOUNDS.maxConnections }, async () => textOf(await open())))
  const socket = await open()
  const answers = textOf(socket)
  socket.write('GET /new HTTP/1.1\r\nhost: a\r\n\r\n')
  await eventually('the request is answered', () => answers.text.includes('/new'))
  await eventually('one idle connection is closed', () => idle.filter(({ isClosed }) => isClosed).length === 1)
  t.deepEqual(limited, ['connections'])
})

test('the oldest incomplete body is refused with 503 and never passed on, and a complete one is served', async (t) => {
  const { received, open, guard } = await setUp(t)
  const body = 'x'.repeat(BODY_BYTES)
  const crowd = [await open(), await open()]
  const answers = crowd.map(textOf)
  for (const [number, socket] of crowd.entries()) {
    socket.write(post(`/${number}`, body).slice(0, -1))
    await eventually('the body is being read', () => guard.bodyBytes >= BODY_BYTES || answers[0]?.text !== '')
  }
  await eventually('the oldest is refused', () => answers[0]?.text.startsWith('HTTP/1.1 503'))
  const socket = await open()
  const answer = textOf(socket)
  socket.write(post('/ordinary', body))
  await eventually('the complete one is served', () => answer.text.includes('/ordinary'))
  crowd[0]?.write('x')
  crowd[1]?.write('x')
  await eventually('the other is answered', () => answers[1]?.text !== '')
  t.false(received.some(({ path }) => path === '/0'))
})

test('a connection that reads no answer is closed after a time', async (t) => {
  const { received, limited, open } = await setUp(t, { answersAtOnce: false, answerTimeoutMs: 100 })
  const socket = await open()
  socket.pause()
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
  await eventually('the request has arrived', () => received.length === 1)
  received[0]?.response.end(Buffer.alloc(64 * 1024 * 1024))
  await eventually('the connection is closed', () => limited.includes('unread'))
  t.deepEqual(limited, ['unread'])
})
