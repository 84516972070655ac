/**
 * `npm run try`: starts a small cell as separate processes, sends every kind of request of both deployments and invalid
 * input, prints one JSON line for each outcome, and stops all processes gracefully.
 */

import { randomBytes } from 'node:crypto'

import { CallerClient } from '../test/support/CallerClient.js'
import { Cell } from '../test/support/Cell.js'
import { configureExamples } from '../test/support/Configure.js'

import type { IJobSpec, ITaskSpec, JobState } from '../src/common/protocol/Types.js'
import type { ICall, IReply } from '../test/support/CallerClient.js'

const SERVICES = ['chip-lookup', 'neighbour-broadcast', 'sighting-sweep', 'pivot-stop', 'pivot-start', 'season-budget', 'sector-sweep']
const BODY_BYTES = 1024 * 1024

let served = 0
let failed = 0

function report (kind: string, isExpected: boolean, reply: IReply, detail: Readonly<Record<string, unknown>> = {}): void {
  if (isExpected) served += 1
  else failed += 1
  const { outcome, waitMs = 0, upstream = '', region = '' } = reply
  process.stdout.write(JSON.stringify({ kind, outcome, status: reply.status, waitMs, upstream, region, ...detail, ok: isExpected }) + '\n')
}

async function sendAll (clients: readonly CallerClient[]): Promise<void> {
  let callerNumber = 0
  for (const service of SERVICES) {
    for (const client of clients) {
      callerNumber += 1
      const body = randomBytes(callerNumber % 2 === 0 ? BODY_BYTES : 100)
      const call: ICall = { service, caller: `caller-${callerNumber}`, requestId: `try-${callerNumber}`, body, contentType: 'application/x-sample' }
      const reply = await client.send(call)
      report(service, reply.outcome === 'done' && reply.body.equals(body) && reply.contentType === call.contentType, reply)
    }
  }
}

async function sendRepeatedRequest (first: CallerClient, second: CallerClient): Promise<void> {
  const call: ICall = { service: 'pivot-start', caller: 'crew-1', requestId: 'start-7', idempotent: false, body: 'north pivot' }
  const replies = await Promise.all([first.send(call), second.send(call)])
  const isSameOutcome = replies.every((reply) => reply.outcome === 'done') && replies[0]?.upstream === replies[1]?.upstream
  for (const reply of replies) report('repeated pivot-start', isSameOutcome, reply)
}

function createJob (jobId: string, service: string, longRunning: boolean, taskCount: number, task: Omit<ITaskSpec, 'taskId'>): IJobSpec {
  const tasks = Array.from({ length: taskCount }, (_, index) => ({ taskId: `task-${index}`, ...task }))
  return { jobId, service, caller: 'planner', longRunning, tasks }
}

/** Submits a job, waits until it has the given state, and reports the state and the number of hosts on which it runs. */
async function tryJob (client: CallerClient, kind: string, spec: IJobSpec, state: JobState): Promise<void> {
  const submitted = await client.submitJob(spec)
  const status = await client.waitForJob(spec.jobId, (each) => each.state === state)
  const hosts = new Set(status?.tasks.map((task) => task.hostId)).size
  report(kind, submitted.status === 202 && status?.state === state, { ...submitted, region: submitted.region ?? '' }, { state: status?.state, hosts })
}

async function sendJobs (client: CallerClient): Promise<void> {
  const resources = { cores: 40, memoryBytes: 2 ** 30, accelerators: 2 }
  await tryJob(client, 'all-at-once job', createJob('gang-1', 'match-model', false, 6, { resources, runMs: 60_000 }), 'running')
  const smallResources = { cores: 1, memoryBytes: 2 ** 20, accelerators: 0 }
  await tryJob(client, 'batch job', createJob('batch-1', 'season-budget', false, 10, { resources: smallResources, runMs: 200 }), 'succeeded')
  await tryJob(client, 'long-running service', createJob('service-1', 'chip-lookup', true, 2, { resources: smallResources }), 'running')
  for (const jobId of ['gang-1', 'service-1']) {
    const cancelled = await client.cancelJob(jobId)
    const status = await client.waitForJob(jobId, (each) => each.state === 'cancelled')
    report('cancelled job', status?.state === 'cancelled', cancelled, { state: status?.state })
  }
}

async function sendBadInput (client: CallerClient): Promise<void> {
  const headers = { 'x-jackdawreel-caller': 'c', 'x-jackdawreel-request-id': 'bad' }
  const cases: ReadonlyArray<readonly [string, number, Record<string, string>, string, Buffer | string]> = [
    ['unknown service', 404, headers, 'no-such-service', ''],
    ['missing caller', 400, { 'x-jackdawreel-request-id': 'bad' }, 'chip-lookup', ''],
    ['bad deadline', 400, { ...headers, 'x-jackdawreel-deadline-ms': 'soon' }, 'chip-lookup', ''],
    ['oversize body', 413, headers, 'chip-lookup', Buffer.alloc(8 * BODY_BYTES)]
  ]
  for (const [kind, status, requestHeaders, service, body] of cases) {
    const reply = await client.sendRaw('POST', `/v1/requests/${service}`, requestHeaders, body)
    report(kind, reply.status === status && reply.outcome === 'refused', reply, JSON.parse(reply.body.toString()) as Record<string, unknown>)
  }
}

async function main (): Promise<void> {
  const cell = await Cell.start()
  try {
    await configureExamples(cell.storeUrl)
    const clients = cell.gateways().slice(0, 2).map((gateway) => new CallerClient(gateway.url))
    await cell.waitUntilServed()
    await sendAll(clients)
    await sendRepeatedRequest(clients[0] as CallerClient, clients[1] as CallerClient)
    await sendJobs(clients[0] as CallerClient)
    await sendBadInput(clients[0] as CallerClient)
    await Promise.all(clients.map(async (client) => { await client.close() }))
    for (const [processId, end] of await cell.stopDaemons()) {
      if (end === 0) continue
      failed += 1
      process.stderr.write(`${processId} ended with ${end}\n`)
    }
  } finally {
    await cell.dispose()
  }
  process.stdout.write(JSON.stringify({ served, failed }) + '\n')
  process.exitCode = failed === 0 ? 0 : 1
}

await main()
