/**
 * The whole path through real processes beside the stand-in of the platform: a job's life, bad input, a planned stop and a
 * killed owner.
 */

import test from 'ava'
import { request } from 'undici'
import { READINESS_PATH } from '../platform/Names.js'
import { CALLER_HOST, PlatformStandIn } from '../platform/standins/PlatformStandIn.js'
import { ControllerCell, PACKED_BINARY } from './support/ControllerCell.js'
import { eventually } from './support/Eventually.js'
import { Judge } from './soak/Judge.js'

import type { ExecutionContext } from 'ava'
import type { IController } from './support/ControllerCell.js'

const HOST_CPU = 4000
const MAX_HOLD_MS = 4000

async function withCell (t: ExecutionContext, count: number, binary?: string) {
  const platform = new PlatformStandIn({ seed: 1, hosts: 3, hostCpu: HOST_CPU, maxHoldMs: MAX_HOLD_MS, failShare: 0 })
  const judge = new Judge(HOST_CPU)
  await platform.start(judge)
  const cell = new ControllerCell(platform, MAX_HOLD_MS, [], binary)
  t.teardown(async () => {
    await cell.close()
    await platform.close()
  })
  await cell.start(count)
  return { platform, judge, cell }
}

async function call (controller: IController | undefined, method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, host = CALLER_HOST) {
  const answer = await request(`${controller?.urls?.callers}${path}`, {
    method, headers: { host, 'x-jackdawreel-deadline': '3000' }, ...(body === undefined ? {} : { body })
  })
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}

function job (counts: readonly number[]): string {
  const steps = counts.map((count, step) => ({ count, cpu: 500, memMb: 10, estimateMs: 200, ...(step > 0 ? { after: [step - 1] } : {}) }))
  return JSON.stringify({ spec: 's', steps })
}

function submitted (judge: Judge, jobId: string, counts: readonly number[]): void {
  judge.jobs.set(jobId, { jobId, gang: false, cpu: 500, counts, accepted: true, isPossiblyAccepted: true, refusedSubmissions: 0 })
}

async function accepted (controller: IController | undefined, path: string, body: string): Promise<void> {
  await eventually('the job is accepted', async () => (await call(controller, 'POST', path, body)).status === 200)
}

async function completed (controller: IController | undefined, path: string): Promise<void> {
  await eventually('the job is completed', async () => (await call(controller, 'GET', path)).text === '{"state":"completed"}')
}

/** A handover is tried so often: a broken one never succeeds, one beside starved processes does at one of these. */
const HANDOVER_ROUNDS = 4

test('a job is accepted at one controller, completed, and told of by another one', async (t) => {
  const { cell, judge } = await withCell(t, 2)
  const [first, second] = cell.controllers
  const path = '/batch/00000000000000a1'
  submitted(judge, '00000000000000a1', [3, 1])
  await accepted(first, path, job([3, 1]))
  await completed(second, path)
  t.is((await call(second, 'POST', path, job([3, 1]))).status, 200, 'the same id again')
  t.is(judge.starts, 4)
  t.is((await call(first, 'GET', '/batch/')).text, '{"waiting":0}')
  t.is((await call(first, 'GET', '/batch/00000000000000ff')).status, 410)
  t.is((await call(first, 'DELETE', '/batch/00000000000000ff')).status, 410)
  t.deepEqual(judge.violations, [])
})

test('bad input gets a clear answer and harms nobody', async (t) => {
  const { cell, judge } = await withCell(t, 1)
  const [controller] = cell.controllers
  submitted(judge, '00000000000000b1', [1])
  await accepted(controller, '/urgent/00000000000000b1', job([1]))
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', '{')).status, 400)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', '{"spec":1,"steps":[]}')).status, 400)
  t.is((await call(controller, 'POST', '/nowhere/00000000000000b2', job([1]))).status, 404)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', job([1]), 'other.example')).status, 404)
  t.is((await call(controller, 'POST', '/urgent/not-an-id', job([1]))).status, 404)
  t.is((await call(controller, 'POST', '/urgent/00000000000000b2', 'x'.repeat(300_000))).status, 413)
  const tooLarge = JSON.stringify({ spec: '', steps: [{ count: 1, cpu: HOST_CPU + 1, memMb: 1 }] })
  const refused = await call(controller, 'POST', '/urgent/00000000000000b3', tooLarge)
  t.is(refused.status, 503)
  t.is(refused.headers['retry-after'], '60')
  await completed(controller, '/urgent/00000000000000b1')
  t.deepEqual(judge.violations, [])
})

test('a cancelled job is stopped and stays cancelled', async (t) => {
  const { cell, judge } = await withCell(t, 1)
  const [controller] = cell.controllers
  const path = '/batch/00000000000000c1'
  submitted(judge, '00000000000000c1', [40, 1])
  await accepted(controller, path, job([40, 1]))
  t.is((await call(controller, 'DELETE', path)).status, 200)
  t.is((await call(controller, 'GET', path)).text, '{"state":"cancelled"}')
  t.is((await call(controller, 'POST', path, job([40, 1]))).status, 200, 'a late repeat is the same job')
  t.is((await call(controller, 'GET', path)).text, '{"state":"cancelled"}')
})

test('when the owner is killed, another controller goes on with its jobs', async (t) => {
  // The owner dies with tasks on the hosts. The next one takes over from the store and the hosts: a caller notices nothing but
  // a moment's wait.
  const { cell, judge } = await withCell(t, 3)
  const jobIds = Array.from({ length: 8 }, (_, number) => `00000000000000d${number}`)
  for (const jobId of jobIds) {
    submitted(judge, jobId, [4, 2])
    await accepted(cell.controllers[0], `/batch/${jobId}`, job([4, 2]))
  }
  const owner = await eventually('one owns the cell', async () => await ownerOf(cell))
  await owner.process.kill()
  const survivor = cell.controllers.find((controller) => controller !== owner)
  for (const jobId of jobIds) await completed(survivor, `/batch/${jobId}`)
  t.is(judge.starts, jobIds.length * 6)
  t.deepEqual(judge.violations, [])
})

test('controllers draw their own ports, at a restart as at the start', async (t) => {
  // A port that was free when a settings file was written may be another process's when the controller starts. It then ends
  // with "address already in use", or its callers talk to somebody else.
  const { cell } = await withCell(t, 2)
  const [first, second] = cell.controllers
  if (first === undefined || second === undefined) return t.fail()
  await isReady(first)
  await isReady(second)
  const ports = [first, second].flatMap(({ urls }) => Object.values(urls ?? {}).map((url) => new URL(String(url)).port))
  t.is(new Set(ports).size, 6)
  t.false(ports.includes('0'))
  await first.process.kill()
  t.is(first.urls, undefined)
  cell.restart(first)
  await first.process.ready
  await isReady(first)
})

async function isReady (controller: IController): Promise<void> {
  await eventually('the balancer is told that it is ready', async () =>
    (await request(`${controller.urls?.readiness}${READINESS_PATH}`)).statusCode === 200)
}

test('a planned stop hands the cell over and answers what is in flight', async (t) => {
  const { cell, judge } = await withCell(t, 2)
  submitted(judge, '00000000000000e1', [2, 2])
  await accepted(cell.controllers[0], '/batch/00000000000000e1', job([2, 2]))
  // Beside many busy processes one of the two may stand still for longer than a lease or a link lasts; nobody can take the cell from the owner then.
  let isTaken = false
  for (let round = 0; round < HANDOVER_ROUNDS && !isTaken; round += 1) {
    const owner = await eventually('one owns the cell', async () => await ownerOf(cell))
    await tells(owner, 'metrics', [/jackdawreel_links 1/])
    const other = cell.controllers.find((controller) => controller !== owner)
    const { process } = owner
    const ended = process.stop()
    t.is((await call(owner, 'GET', '/batch/')).status, 200)
    await completed(other, '/batch/00000000000000e1')
    t.is(await ended, 0)
    isTaken = lineOf(process, 'owner.handedOver').includes('"isTaken":true')
    if (isTaken) t.deepEqual(withoutOwner(other, timeOf(lineOf(process, 'process.stopping'))), [], 'the cell had an owner at each moment')
    else cell.restart(owner)
  }
  t.true(isTaken, 'the other process took the cell over')
  t.deepEqual(judge.violations, [])
})

test('metrics and dump tell what the process does', async (t) => {
  const { cell, judge } = await withCell(t, 1)
  const [controller] = cell.controllers
  submitted(judge, '00000000000000f1', [1])
  await accepted(controller, '/urgent/00000000000000f1', job([1]))
  await completed(controller, '/urgent/00000000000000f1')
  await tells(controller, 'metrics', [/jackdawreel_submissions_total\{kind="accepted"\} [1-9]/, /jackdawreel_ends_total\{kind="done"\} 1/, /jackdawreel_owner 1/])
  await tells(controller, 'dump', [/"cell":\{"fence":\d+,"jobs":1,/])
  t.pass()
})

function lineOf ({ stdout }: IController['process'], event: string): string {
  return stdout.find((line) => line.includes(`"event":"${event}"`)) ?? ''
}

/** What a process has seen of a cell without an owner, from a time on. */
function withoutOwner (controller: IController | undefined, sinceMs: number): readonly string[] {
  const seen = controller?.process.stdout.filter((line) => line.includes('"event":"owner.seen"')) ?? []
  return seen.filter((line) => !line.includes('"owner":') && timeOf(line) >= sinceMs)
}

function timeOf (line: string): number {
  return Date.parse((JSON.parse(line) as { readonly time: string }).time)
}

/** Waits until the page matches all: beside busy processes the owner's lease of a second may end, and it is owner again a moment later. */
async function tells (controller: IController | undefined, page: 'metrics' | 'dump', expected: readonly RegExp[]): Promise<void> {
  await eventually(`${page} tells ${expected.join(', ')}`, async () => {
    const answer = await request(`${controller?.urls?.metrics}/${page}`)
    const text = await answer.body.text()
    return answer.statusCode === 200 && expected.every((pattern) => pattern.test(text))
  })
}

async function ownerOf (cell: ControllerCell): Promise<IController | undefined> {
  for (const controller of cell.controllers) {
    const dump = await (await request(`${controller.urls?.metrics}/dump`)).body.json() as { readonly cell?: unknown }
    if (dump.cell !== undefined) return controller
  }
  return undefined
}

test('the controller as it is packed for deployment serves a job, its metrics and its state dump', async (t) => {
  // What is loaded late is not in the packed script. One would find out only when somebody asks for the metrics of an incident.
  const { cell, judge } = await withCell(t, 1, PACKED_BINARY)
  const [first] = cell.controllers
  const path = '/batch/00000000000000b7'
  submitted(judge, '00000000000000b7', [2])
  await accepted(first, path, job([2]))
  await completed(first, path)
  await tells(first, 'metrics', [/config_version/])
  await tells(first, 'dump', [/"fence"/])
  t.pass()
})
