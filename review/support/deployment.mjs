/**
 * Starts controllers with the command of the deploy file beside the project's stand-in of the platform, on loopback, and records what was
 * sent, answered and run.
 */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { HOST_HEARTBEAT_MS } from '../../dist/platform/standins/HostRegistration.js'
import { CALLER_HOST } from '../../dist/platform/standins/PlatformStandIn.js'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const READY_TIMEOUT_MS = 20_000
/** The exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2

/** The bounds of a small deployment. */
export const BOUNDS = { maxHoldMs: 6000, contactMs: 4000, finishMs: 14_000, visibleMs: 3000, cancelMs: 3000, stopGraceMs: 200 }

/** Writes `record.txt`: one line for each event, with the time since the start of the case. */
export class Record {
  #lines = []
  #startedAtMs = performance.now()

  constructor (folder) {
    this.path = join(folder, 'record.txt')
  }

  get nowMs () {
    return performance.now() - this.#startedAtMs
  }

  add (text) {
    this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} s  ${text}`)
  }

  save () {
    writeFileSync(this.path, this.#lines.join('\n') + '\n')
  }
}

/** The command of the role in the deploy file. */
function deployedCommand () {
  const line = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n').find((each) => each.startsWith('run = '))
  return JSON.parse(line.slice('run = '.length)).split(' ')
}

function settingsText (id, storePort, advicePort, maxHoldMs) {
  return `[process]
id = ${id}
region = region-a
failureDomain = zone-a
processorShare = 0.675
processorSpeed = 1
linkMbps = 1000
memoryMb = 350
[callers]
listen = 127.0.0.1:0
[readiness]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
[metrics]
listen = 127.0.0.1:0
[store]
address = 127.0.0.1:${storePort}
minLeaseMs = 1000
[advice]
address = 127.0.0.1:${advicePort}
[hosts]
maxHoldMs = ${maxHoldMs}
heartbeatMs = ${HOST_HEARTBEAT_MS}
farFactor = 1.5
statusMs = 120000
stopGraceMs = ${BOUNDS.stopGraceMs}
[stop]
graceMs = 6000
[log]
level = info
maxLinesPerSecond = 100
`
}

/** The controllers of one case. */
export class Controllers {
  #folder = mkdtempSync(join(tmpdir(), 'jackdawreel-review-'))
  #all = []

  constructor (platform, record, maxHoldMs = BOUNDS.maxHoldMs) {
    this.platform = platform
    this.record = record
    this.maxHoldMs = maxHoldMs
  }

  /** Starts a controller, which reaches the store through a forwarder of its own, and waits until it is ready. */
  async start (id) {
    const { forwarder, port } = await this.platform.createStoreForwarder()
    const configPath = join(this.#folder, `${id}.ini`)
    writeFileSync(configPath, settingsText(id, port, this.platform.advicePort, this.maxHoldMs))
    const controller = { id, configPath, store: forwarder, child: undefined, url: undefined, log: [] }
    this.#all.push(controller)
    await this.run(controller)
    return controller
  }

  /** Starts the process of the controller. */
  async run (controller) {
    const [program, ...args] = deployedCommand()
    const child = spawn(program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, JACKDAWREEL_CONFIG: controller.configPath }, stdio: ['ignore', 'pipe', 'pipe']
    })
    controller.child = child
    createInterface({ input: child.stderr }).on('line', (line) => { controller.log.push(line) })
    const ready = new Promise((resolve, reject) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        controller.log.push(line)
        if (!line.startsWith('{"ready":true')) return
        controller.url = JSON.parse(line).url
        resolve()
      })
      child.once('close', (code, signal) => {
        this.record.add(`process ${controller.id} ended with ${code ?? signal}`)
        reject(new Error(`${controller.id} ended before it was ready`))
      })
    })
    await Promise.race([ready, pause(READY_TIMEOUT_MS).then(() => { throw new Error(`${controller.id} is not ready`) })])
    this.record.add(`process ${controller.id} is ready`)
  }

  signal (controller, name) {
    this.record.add(`${name} to ${controller.id}`)
    controller.child.kill(name)
  }

  /** The controllers with log lines of this event. */
  logged (event) {
    return this.#all.filter(({ log }) => log.some((line) => line.includes(`"event":"${event}"`)))
  }

  async close () {
    for (const { child, store } of this.#all) {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => { child.once('close', resolve) })
        child.kill('SIGKILL')
        await ended
      }
      await store.close()
    }
    if (process.env.KEEP_LOGS !== undefined) for (const { id, log } of this.#all) writeFileSync(join(process.env.KEEP_LOGS, `${id}.log`), log.join('\n'))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Waits until the condition holds, for `limitMs` at most; resolves to whether it does. */
export async function until (condition, limitMs) {
  const untilMs = performance.now() + limitMs
  while (!condition() && performance.now() < untilMs) await pause(20)
  return condition()
}

/** Sends one request of a caller; the status is 0 if there was no answer. */
export async function call (record, controller, method, path, { body, key } = {}) {
  const headers = { 'x-jackdawreel-deadline': '3000', 'content-type': 'application/json', ...(key === undefined ? {} : { 'x-jackdawreel-credential': key }) }
  const answer = await send(`${controller.url}${path}`, method, headers, body === undefined ? undefined : JSON.stringify(body))
  record.add(`${method} ${path} at ${controller.id}: ${answer.status} ${answer.text.slice(0, 120)}`)
  return answer
}

async function send (url, method, headers, body) {
  const { request } = await import('undici')
  try {
    const answer = await request(url, { method, headers: { host: CALLER_HOST, ...headers }, body, headersTimeout: 3000, bodyTimeout: 3000 })
    return { status: answer.statusCode, text: await answer.body.text() }
  } catch (error) {
    return { status: 0, text: String(error) }
  }
}

/** Runs a case, and ends the process with its exit code. */
export async function runCase (folder, play) {
  const record = new Record(folder)
  const hasTrouble = process.env.TROUBLE !== '0'
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption')
  let code = COULD_NOT_RUN
  try {
    const broken = await play(record, hasTrouble)
    for (const line of broken) record.add(`BROKEN ${line}`)
    code = broken.length > 0 ? BROKEN : HELD
  } catch (error) {
    record.add(`could not run: ${error instanceof Error ? error.stack : String(error)}`)
  }
  record.add(`exit ${code}`)
  record.save()
  process.exit(code)
}
