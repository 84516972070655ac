/**
 * Tests the whole path through real controller processes and the stand-in of the platform: the life of a job, invalid input, a
 * planned stop, and an owner that is killed.
 */

import test from 'ava'
import { request } from 'undici'
import { KEY_HEADER, READINESS_PATH } from '../platform/Names.js'
import { CALLER_HOST, PlatformStandIn } from '../platform/standins/PlatformStandIn.js'
import { ControllerCell, PACKED_BINARY } from './support/ControllerCell.js'
import { eventually } from './support/Eventually.js'
import { InvariantChecker } from './soak/InvariantChecker.js'

import type { ExecutionContext } from 'ava'
import type { IStandInWorkspace } from '../platform/standins/PlatformStandIn.js'
import type { IController } from './support/ControllerCell.js'

const HOST_CPU = 4000
const MAX_HOLD_MS = 4000

async function withCell (t: ExecutionContext, count: number, binary?: string, workspaces?: readonly IStandInWorkspace[]) {
  const options = { seed: 1, hosts: 3, hostCpu: HOST_CPU, maxHoldMs: MAX_HOLD_MS, failShare: 0 }
  const platform = new PlatformStandIn({ ...options, ...(workspaces === undefined ? {} : { workspaces }) })
  const checker = new InvariantChecker(HOST_CPU)
  await platform.start(checker)
  const cell = new ControllerCell(platform, MAX_HOLD_MS, [], binary)
  t.teardown(async () => {
    await cell.close()
    await platform.close()
  })
  await cell.start(count)
  return { platform, checker, cell }
}

async function call (controller: IController | undefined, method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, host = CALLER_HOST, key = '') {
  const answer = await request(`${controller?.urls?.callers}${path}`, {
    method, headers: { host, 'x-jackdawreel-deadline': '3000', [KEY_HEADER]: key }, ...(body === undefined ? {} : { body })
  })
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}

function jobBody (counts: readonly number[]): string {
  const steps = counts.map((count, step) => ({ count, cpu: 500, memMb: 10, estimateMs: 200, ...(step > 0 ? { after: [step - 1] } : {}) }))
  return JSON.stringify({ spec: 's', steps })
}

function addSubmittedJob (checker: InvariantChecker, jobId: string, counts: readonly number[]): void {
  checker.jobs.set(jobId, { jobId, gang: false, cpu: 500, counts, accepted: true, isPossiblyAccepted: true, refusedSubmissions: 0 })
}

async function waitUntilAccepted (controller: IController | undefined, path: string, body: string): Promise<void> {
  await eventually('the job is accepted', async () => (await call(controller, 'POST', path, body)).status === 200)
}

async function waitUntilCompleted (controller: IController | undefined, path: string): Promise<void> {
  await eventually('the job is completed', async () => (await call(controller, 'GET', path)).text === '{"state":"completed"}')
}

/**
 * The most attempts at a handover. A broken handover never succeeds; if processes are starved of processor time, at least one of
 * these attempts succeeds.
 */
const MAX_HANDOVER_ATTEMPTS = 4

test('a job is accepted by one controller and completed, and another controller reports its state', async (t) => {
  const { cell, checker } = await withCell(t, 2)
  const [first, second] = cell.controllers
  const path = '/batch/00000000000000a1'
  addSubmittedJob(checker, '00000000000000a1', [3, 1])
  await waitUntilAccepted(first, path, jobBody([3, 1]))
  await waitUntilCompleted(second, path)
  t.is((await call(second, 'POST', path, jobBody([3, 1]))).status, 200, 'the same id is submitted again')
  t.is(checker.starts, 4)
  t.is((await call(first, 'GET', '/batch/')).text, '{"waiting":0}')
  t.is((await call(first, 'GET', '/batch/00000000000000ff')).status, 410)
  t.is((await call(first, 'DELETE', '/batch/00000000000000ff')).status, 410)
  t.deepEqual(checker.violations, [])
})

test('invalid input gets a clear answer and does not affect other jobs', async (t) => {
  const { cell, checker } = await withCell(t, 1)
  const [controller] = cell.controllers
  addSubmittedJob(checker, '00000000000000b1', [1])
  await waitUntilAccepted(controller, '/urgent/00000000000000b1', jobBody([1]))
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', '{')).status, 400)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', '{"spec":1,"steps":[]}')).status, 400)
  t.is((await call(controller, 'POST', '/nowhere/00000000000000b2', jobBody([1]))).status, 404)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', jobBody([1]), 'other.example')).status, 404)
  t.is((await call(controller, 'POST', '/urgent/not-an-id', jobBody([1]))).status, 404)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', 'x'.repeat(300_000))).status, 413)
  const tooLarge = JSON.stringify({ spec: '', steps: [{ count: 1, cpu: HOST_CPU + 1, memMb: 1 }] })
  const refused = await call(controller, 'POST', '/urgent/00000000000000b3', tooLarge)
  t.is(refused.status, 503)
  t.is(refused.headers['retry-after'], '60')
  await waitUntilCompleted(controller, '/urgent/00000000000000b1')
  t.deepEqual(checker.violations, [])
})

test('a cancelled job is stopped and stays cancelled', async (t) => {
  const { cell, checker } = await withCell(t, 1)
  const [controller] = cell.controllers
  const path = '/batch/00000000000000c1'
  addSubmittedJob(checker, '00000000000000c1', [40, 1])
  await waitUntilAccepted(controller, path, jobBody([40, 1]))
  t.is((await call(controller, 'DELETE', path)).status, 200)
  t.is((await call(controller, 'GET', path)).text, '{"state":"cancelled"}')
  t.is((await call(controller, 'POST', path, jobBody([40, 1]))).status, 200, 'a late submission of the same id means the same job')
  t.is((await call(controller, 'GET', path)).text, '{"state":"cancelled"}')
})

test('when the owner is killed, another controller continues its jobs', async (t) => {
  // The owner dies while tasks run on the hosts. The next owner restores the jobs from the store and the hosts, so that callers only
  // see a short delay.
  const { cell, checker } = await withCell(t, 3)
  const jobIds = Array.from({ length: 8 }, (_, number) => `00000000000000d${number}`)
  for (const jobId of jobIds) {
    addSubmittedJob(checker, jobId, [4, 2])
    await waitUntilAccepted(cell.controllers[0], `/batch/${jobId}`, jobBody([4, 2]))
  }
  const owner = await eventually('a controller owns the cell', async () => await ownerOf(cell))
  await owner.process.kill()
  const survivor = cell.controllers.find((controller) => controller !== owner)
  for (const jobId of jobIds) await waitUntilCompleted(survivor, `/batch/${jobId}`)
  t.is(checker.starts, jobIds.length * 6)
  t.deepEqual(checker.violations, [])
})

test('controllers get free ports from the operating system, at the start and at a restart', async (t) => {
  // A port that was free when the settings file was written may be in use when the controller starts. The controller would then end
  // with "address already in use", or its callers would reach another process.
  const { cell } = await withCell(t, 2)
  const [first, second] = cell.controllers
  if (first === undefined || second === undefined) return t.fail()
  await waitUntilReady(first)
  await waitUntilReady(second)
  const ports = [first, second].flatMap(({ urls }) => Object.values(urls ?? {}).map((url) => new URL(String(url)).port))
  t.is(new Set(ports).size, 6)
  t.false(ports.includes('0'))
  await first.process.kill()
  t.is(first.urls, undefined)
  cell.restart(first)
  await first.process.ready
  await waitUntilReady(first)
})

async function waitUntilReady (controller: IController): Promise<void> {
  await eventually('the readiness listener reports that the controller is ready', async () =>
    (await request(`${controller.urls?.readiness}${READINESS_PATH}`)).statusCode === 200)
}

test('a planned stop hands the cell over and answers the calls in flight', async (t) => {
  const { cell, checker } = await withCell(t, 2)
  addSubmittedJob(checker, '00000000000000e1', [2, 2])
  await waitUntilAccepted(cell.controllers[0], '/batch/00000000000000e1', jobBody([2, 2]))
  // On a busy machine one of the two processes may get no processor time for longer than a lease or a link lasts. The other one
  // can't take the cell over then, so the handover is repeated.
  let isTaken = false
  for (let round = 0; round < MAX_HANDOVER_ATTEMPTS && !isTaken; round += 1) {
    const owner = await eventually('a controller owns the cell', async () => await ownerOf(cell))
    await waitForPage(owner, 'metrics', [/jackdawreel_links 1/])
    const other = cell.controllers.find((controller) => controller !== owner)
    const { process } = owner
    const ended = process.stop()
    t.is((await call(owner, 'GET', '/batch/')).status, 200)
    await other?.process.ready
    await waitUntilCompleted(other, '/batch/00000000000000e1')
    t.is(await ended, 0)
    isTaken = logLineOf(process, 'owner.handedOver').includes('"isTaken":true')
    if (isTaken) t.deepEqual(linesWithoutOwner(other, timeOf(logLineOf(process, 'process.stopping'))), [], 'the cell had an owner at all times')
    else cell.restart(owner)
  }
  t.true(isTaken, 'the other controller took the cell over')
  t.deepEqual(checker.violations, [])
})

test('metrics and state dump show the state of the process', async (t) => {
  const { cell, checker } = await withCell(t, 1)
  const [controller] = cell.controllers
  addSubmittedJob(checker, '00000000000000f1', [1])
  await waitUntilAccepted(controller, '/urgent/00000000000000f1', jobBody([1]))
  await waitUntilCompleted(controller, '/urgent/00000000000000f1')
  await waitForPage(controller, 'metrics', [
    /jackdawreel_submissions_total\{kind="accepted"\} [1-9]/, /jackdawreel_ends_total\{kind="done"\} 1/, /jackdawreel_owner 1/
  ])
  await waitForPage(controller, 'dump', [/"cell":\{"fence":\d+,"jobs":1,/])
  t.pass()
})

function logLineOf ({ stdout }: IController['process'], event: string): string {
  return stdout.find((line) => line.includes(`"event":"${event}"`)) ?? ''
}

/** The log lines by which a process reported, from the given time on, that the cell had no owner. */
function linesWithoutOwner (controller: IController | undefined, sinceMs: number): readonly string[] {
  const seen = controller?.process.stdout.filter((line) => line.includes('"event":"owner.seen"')) ?? []
  return seen.filter((line) => !line.includes('"owner":') && timeOf(line) >= sinceMs)
}

function timeOf (line: string): number {
  return Date.parse((JSON.parse(line) as { readonly time: string }).time)
}

/**
 * Waits until the page matches all patterns. It retries because on a busy machine the owner's lease of a second may expire, and the
 * process is the owner again a moment later.
 */
async function waitForPage (controller: IController | undefined, page: 'metrics' | 'dump', expected: readonly RegExp[]): Promise<void> {
  await eventually(`${page} page matches ${expected.join(', ')}`, async () => {
    const answer = await request(`${controller?.urls?.metrics}/${page}`)
    const text = await answer.body.text()
    return answer.statusCode === 200 && expected.every((pattern) => pattern.test(text))
  })
}

/** Passes over a controller that is starting again and has no addresses yet; one that has ended is an error. */
async function ownerOf (cell: ControllerCell): Promise<IController | undefined> {
  for (const controller of cell.controllers) {
    if (controller.urls === undefined && controller.process.isRunning) continue
    const dump = await (await request(`${controller.urls?.metrics}/dump`)).body.json() as { readonly cell?: unknown }
    if (dump.cell !== undefined) return controller
  }
  return undefined
}

test('the controller packed for deployment serves a job, its metrics and its state dump', async (t) => {
  // Modules that are loaded at run time are not in the packed script. Without this test, that would show only when an operator
  // requests the metrics during an incident.
  const { cell, checker } = await withCell(t, 1, PACKED_BINARY)
  const [first] = cell.controllers
  const path = '/batch/00000000000000b7'
  addSubmittedJob(checker, '00000000000000b7', [2])
  await waitUntilAccepted(first, path, jobBody([2]))
  await waitUntilCompleted(first, path)
  await waitForPage(first, 'metrics', [/config_version/])
  await waitForPage(first, 'dump', [/"fence"/])
  t.pass()
})

const BLUE: IStandInWorkspace = { name: 'blue', keys: ['blue-key-1', 'blue-key-2'], maxCpu: 2000 }
const RED: IStandInWorkspace = { name: 'red', keys: ['red-key-1'], maxCpu: 0 }

async function statusWith (controller: IController | undefined, key: string, method: 'GET' | 'POST' | 'DELETE', path: string, body?: string) {
  return (await call(controller, method, path, body, CALLER_HOST, key)).status
}

test('callers need a key of the workspace of their job, and no output contains a key', async (t) => {
  const { cell, checker } = await withCell(t, 2, undefined, [BLUE, RED])
  checker.recordLimit('blue', BLUE.maxCpu)
  const [first, second] = cell.controllers
  const path = '/batch/00000000000000a9'
  const job = { jobId: '00000000000000a9', gang: false, cpu: 500, counts: [12], workspace: 'blue', accepted: true, isPossiblyAccepted: true, refusedSubmissions: 0 }
  checker.jobs.set(job.jobId, job)
  await eventually('the job is accepted', async () => await statusWith(first, 'blue-key-1', 'POST', path, jobBody([12])) === 200)
  for (const key of ['', 'other-key']) {
    for (const [method, to] of [['POST', path], ['GET', path], ['DELETE', path], ['GET', '/batch/']] as const) {
      t.is(await statusWith(second, key, method, to, method === 'POST' ? jobBody([12]) : undefined), 401, `${method} ${to}`)
    }
  }
  t.is(await statusWith(second, 'red-key-1', 'GET', path), 410)
  t.is(await statusWith(second, 'red-key-1', 'DELETE', path), 410)
  t.is(await statusWith(second, 'red-key-1', 'POST', path, jobBody([12])), 400)
  await eventually('the job is completed', async () =>
    (await call(second, 'GET', path, undefined, CALLER_HOST, 'blue-key-2')).text === '{"state":"completed"}')
  t.deepEqual(checker.violations, [])
  const pages = await Promise.all(cell.controllers.flatMap(({ urls }) => ['metrics', 'dump'].map(async (page) =>
    await (await request(`${urls?.metrics}/${page}`)).body.text())))
  const output = [...pages, ...cell.controllers.flatMap(({ process }) => [...process.stdout, ...process.stderr])].join('\n')
  t.false(/(blue|red|other)-key/.test(output))
  t.true(output.includes('"workspace":"blue"'))
})

test('a removed key is refused and a new one accepted by a process that the store does not answer', async (t) => {
  const { cell, platform } = await withCell(t, 3, undefined, [BLUE, RED])
  await eventually('the key is accepted', async () => {
    const statuses = await Promise.all(cell.controllers.map(async (controller) => await statusWith(controller, 'blue-key-1', 'GET', '/batch/')))
    return statuses.every((status) => status === 200)
  })
  const owner = await eventually('a controller owns the cell', async () => await ownerOf(cell))
  const cutOff = cell.controllers.find((controller) => controller !== owner)
  cutOff?.store.cut('toTarget', 'toClient')
  platform.putWorkspaces([{ ...BLUE, keys: ['blue-key-2', 'blue-key-3'] }, RED])
  await eventually('the removed key is refused', async () => await statusWith(cutOff, 'blue-key-1', 'GET', '/batch/') === 401)
  await eventually('the new key is accepted', async () => await statusWith(cutOff, 'blue-key-3', 'GET', '/batch/') === 200)
  await eventually('the process has the new configuration', async () =>
    cutOff?.process.stdout.some((line) => line.includes('"event":"config.applied"') && line.includes('"peer"')) === true)
  t.pass()
})
