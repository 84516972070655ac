/**
 * A small deployment on loopback for the cases of the second review: controllers as separate processes with the command and the settings
 * template of `deploy/`, and the project's stand-ins for the store, the hosts and the advice service. Everything runs on the real clock.
 */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { AdviceStandIn } from '../../dist/platform/standins/AdviceStandIn.js'
import { HostStandIn } from '../../dist/platform/standins/HostStandIn.js'
import { StoreStandIn } from '../../dist/platform/standins/StoreStandIn.js'
import { StandInServer } from '../../dist/test/standins/StandInServer.js'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const CALLER_HOST = 'callers.example'
export const SERVICE = 'pool'
const LOOPBACK = '127.0.0.1'
const HEARTBEAT_MS = 1500
const READY_LIMIT_MS = 15_000
/** How long consumers wait for an answer, in ms: the time limit of the sheets. */
export const CALLER_DEADLINE_MS = 3000

export async function sleep (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** What was sent, answered and run, with the time since the start in ms. */
export class Recorder {
  startedAtMs = performance.now()
  lines = []

  add (text) {
    this.lines.push(`${String(Math.round(performance.now() - this.startedAtMs)).padStart(7)} ${text}`)
  }

  write (folder) {
    writeFileSync(join(folder, 'record.txt'), this.lines.join('\n') + '\n')
  }
}

/**
 * @typedef IHostOptions
 * @property {string} rack
 * @property {number} cpu in thousandths of a core
 */
export class Cell {
  controllers = []
  hosts = []
  lostHosts = []
  folder = mkdtempSync(join(tmpdir(), 'review-2-'))

  constructor (recorder, { seed = 1, routes, workMs, fails, maxHoldMs = 6000 }) {
    this.recorder = recorder
    this.options = { routes, workMs, fails, maxHoldMs }
    this.store = new StoreStandIn(seed)
    this.storeServer = new StandInServer(this.store)
    this.adviceServer = new StandInServer(new AdviceStandIn(5))
  }

  async start (controllerCount, hosts) {
    this.storePort = portOf(await this.storeServer.listen())
    this.advicePort = portOf(await this.adviceServer.listen())
    this.store.put('op/config', this.config())
    for (const host of hosts) await this.addHost(host)
    for (let number = 0; number < controllerCount; number += 1) this.addController(number)
    await Promise.all(this.controllers.map(async ({ ready }) => await ready))
  }

  config () {
    const common = { host: CALLER_HOST, kind: 'non_idempotent', timeoutMs: CALLER_DEADLINE_MS, service: SERVICE, maxAttempts: 3, stretch: 2, targetDurationMs: 3000 }
    return {
      version: 1,
      routes: this.options.routes.map((route) => ({ ...common, ...route })),
      services: [{ name: SERVICE, healthPath: '/health', maxConns: 64, admissionCheck: false }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144 }
    }
  }

  async addHost ({ rack, cpu }) {
    const hostId = `i-${this.hosts.length.toString(16).padStart(8, '0')}`
    const { workMs, fails, maxHoldMs } = this.options
    const host = new HostStandIn({
      hostId, cpu, maxHoldMs, workMs, fails, random: Math.random
    }, this.hostEvents())
    const server = new StandInServer(host)
    const port = portOf(await server.listen())
    const write = () => {
      this.store.put(`servers/${hostId}`, { ...host.entry(SERVICE, `${LOOPBACK}:${port}`), labels: ['a', rack], capacity: { cpu, memMb: 65_536, gpus: 0 } })
    }
    write()
    this.hosts.push({ hostId, host, server, rack, cpu, timer: setInterval(write, HEARTBEAT_MS) })
  }

  /** The host is lost for good: it says nothing any more, and its entry expires after three heartbeats. */
  loseHost (lost) {
    clearInterval(lost.timer)
    lost.timer = setTimeout(() => { this.store.remove(`servers/${lost.hostId}`) }, 3 * HEARTBEAT_MS)
    this.recorder.add(`${lost.hostId} is lost for good`)
    lost.host.leave()
    this.hosts = this.hosts.filter((host) => host !== lost)
    this.lostHosts.push(lost)
  }

  /** The controller that owns the cell, by the stored record. */
  owner () {
    const { processId } = JSON.parse(this.store.read('jd/control/owner') ?? '{}')
    return this.controllers.find(({ id }) => id === processId)
  }

  hostEvents () {
    const { recorder } = this
    return {
      onStart: (hostId, task, run) => {
        recorder.add(`${hostId} starts ${task} run ${run}`)
        this.onStart?.(hostId, task, run)
      },
      onEnd: (hostId, task, run, outcome) => {
        recorder.add(`${hostId} ends ${task} run ${run}: ${outcome}`)
        this.onEnd?.(hostId, task, run, outcome)
      },
      onAcknowledged: () => {},
      onLapse: (hostId) => { recorder.add(`${hostId} lease lapsed`) },
      onListLost: () => {}
    }
  }

  addController (number) {
    const id = `controller-${number}`
    const configPath = join(this.folder, `${id}.ini`)
    writeFileSync(configPath, this.settings(id))
    const controller = { id, configPath, url: undefined, log: [] }
    this.controllers.push(controller)
    this.launch(controller)
  }

  /** Starts the process with the command of the deploy file. */
  launch (controller) {
    const [program, ...args] = deployCommand()
    const child = spawn(program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, JACKDAWREEL_CONFIG: controller.configPath }, stdio: ['ignore', 'pipe', 'pipe']
    })
    controller.child = child
    controller.exited = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
    controller.ready = new Promise((resolve, reject) => {
      setTimeout(() => { reject(new Error(`${controller.id} is not ready`)) }, READY_LIMIT_MS).unref()
      let rest = ''
      child.stdout.on('data', (chunk) => {
        const lines = (rest + chunk).split('\n')
        rest = lines.pop()
        for (const line of lines) {
          controller.log.push(line)
          if (!line.startsWith('{"ready":true')) continue
          controller.url = JSON.parse(line).url
          this.recorder.add(`${controller.id} is ready`)
          resolve()
        }
      })
    })
    child.stderr.on('data', (chunk) => { controller.log.push(String(chunk)) })
  }

  settings (id) {
    return render(readFileSync(join(ROOT, 'deploy/controller.ini.template'), 'utf8'), {
      node: id,
      region: 'region-a',
      zone: 'zone-a',
      ip: LOOPBACK,
      portRange: [0, 0],
      listen: { front: `${LOOPBACK}:0`, readyAddr: `${LOOPBACK}:0` },
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, linkMbps: 1000 },
      platform: { address: `${LOOPBACK}:${this.storePort}`, ttlMinMs: 1000 },
      advice: `${LOOPBACK}:${this.advicePort}`,
      heartbeatMs: HEARTBEAT_MS,
      bounds: { maxHoldMs: this.options.maxHoldMs, farFactor: 1.5, status_s: 120, stopGraceMs: 200, graceS: 6 }
    })
  }

  /** Sends one request as a consumer. Resolves to the status and the text; the status is 0 if there is no whole answer in time. */
  async call (controller, method, path, body) {
    const answer = await send(controller.url, method, path, body)
    this.recorder.add(`${method} ${path} at ${controller.id}: ${answer.status} ${answer.text.slice(0, 120)}`)
    return answer
  }

  /** Submits as a consumer does: after no answer, 502 or 504 the same request is sent again, and after 429 or 503 later. */
  async submit (path, body, tries = 5) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const controller = this.controllers[attempt % this.controllers.length]
      const { status } = await this.call(controller, 'POST', path, body)
      if (status === 200) return true
      await sleep(status === 429 || status === 503 ? 1000 : 50)
    }
    return false
  }

  async close () {
    for (const { child } of this.controllers) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(this.controllers.map(async ({ exited }) => await exited))
    for (const { server, timer } of [...this.hosts, ...this.lostHosts]) {
      clearInterval(timer)
      server.close()
    }
    this.storeServer.close()
    this.adviceServer.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** The program and its arguments, split at spaces. */
function deployCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  return run.split(' ')
}

function render (template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(path.split('.').reduce((value, key) => value[key], fields)))
}

const agent = new Agent({ keepAlive: true })

function send (url, method, path, body) {
  return new Promise((resolve) => {
    const headers = { host: CALLER_HOST, 'content-type': 'application/json', 'x-jackdawreel-deadline': String(CALLER_DEADLINE_MS) }
    const request = httpRequest(`${url}${path}`, { method, headers, agent }, (response) => {
      let text = ''
      response.on('data', (chunk) => { text += chunk })
      response.on('end', () => { resolve({ status: response.statusCode, text }) })
      response.on('error', () => { resolve({ status: 0, text: 'broken answer' }) })
    })
    request.setTimeout(CALLER_DEADLINE_MS, () => { request.destroy(new Error('no answer in time')) })
    request.on('error', (error) => { resolve({ status: 0, text: error.message }) })
    request.end(body)
  })
}

function portOf (url) {
  return Number(new URL(url).port)
}

/** Runs a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
export async function runCase (folder, play) {
  const recorder = new Recorder()
  const isTrouble = process.env.TROUBLE !== '0'
  recorder.add(`TROUBLE=${isTrouble ? 1 : 0}`)
  let code = 2
  let cell
  try {
    const broken = await play(recorder, isTrouble, (created) => { cell = created })
    for (const line of broken) recorder.add(`BROKEN ${line}`)
    recorder.add(broken.length > 0 ? 'result: the rule was broken' : 'result: the rule held')
    code = broken.length > 0 ? 1 : 0
  } catch (error) {
    recorder.add(`result: could not run: ${error.stack}`)
  }
  await cell?.close()
  if (process.env.LOGS !== undefined) for (const { id, log } of cell?.controllers ?? []) writeFileSync(join(process.env.LOGS, `${id}.log`), log.join('\n'))
  recorder.write(folder)
  process.stdout.write(recorder.lines.at(-1) + '\n')
  process.exit(code)
}
