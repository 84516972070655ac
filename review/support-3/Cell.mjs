/**
 * A small deployment on loopback for the cases of this review: controllers as separate processes, started with the command of the deploy
 * file, and the project's own stand-ins of the store and the hosts. Each case sends submissions, disturbs the cell and checks one rule.
 */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { HostStandIn } from '../../dist/platform/standins/HostStandIn.js'
import { StoreStandIn } from '../../dist/platform/standins/StoreStandIn.js'
import { StandInServer, sendJson } from '../../dist/test/standins/StandInServer.js'
import { TcpForwarder } from '../../dist/test/support/TcpForwarder.js'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const READY_TIMEOUT_MS = 20_000
/** A case that takes longer is ended, in ms. */
const MAX_CASE_MS = 118_000
const MAX_HOLD_MS = 6000
export const HEARTBEAT_MS = 1500
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
export const CALLER_HOST = 'callers.example'
export const SERVICE = 'pool'
export const IS_TROUBLED = process.env.TROUBLE !== '0'

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Collects what was sent, answered and run, with the time since the start, and writes it to `record.txt`. */
export class Recorder {
  constructor (folder) {
    this._path = join(folder, 'record.txt')
    this._lines = []
    this._startedAtMs = performance.now()
  }

  get nowMs () {
    return Math.round(performance.now() - this._startedAtMs)
  }

  add (event, fields = {}) {
    this._lines.push(JSON.stringify({ ms: this.nowMs, event, ...fields }))
  }

  /** Adds a line that is also printed. */
  say (text) {
    this.add('note', { text })
    console.log(text)
  }

  write () {
    writeFileSync(this._path, this._lines.join('\n') + '\n')
  }
}

/** A host of the platform behind a forwarder of its own, with its entry in the store. */
export class Host {
  constructor (store, hostId, options, recorder, events) {
    this.hostId = hostId
    this.options = options
    this._store = store
    this._isSilent = false
    this._renewedAtMs = 0
    this.labels = options.labels ?? ['a', 'r1']
    const StandInClass = options.StandInClass ?? HostStandIn
    this.standIn = new StandInClass({
      hostId,
      cpu: options.cpu,
      maxHoldMs: MAX_HOLD_MS,
      workMs: options.workMs,
      fails: options.fails ?? (() => false),
      random: Math.random
    }, {
      onStart: (id, task, run) => { recorder.add('start', { host: id, task, run }); events.onStart?.(this, task, run) },
      onEnd: (id, task, run, outcome, sequence) => {
        recorder.add('end', { host: id, task, run, outcome, sequence })
        events.onEnd?.(this, task, run, outcome)
      },
      onLateOrder: () => {},
      onAcknowledged: (id, sequence) => { recorder.add('endTaken', { host: id, sequence }) },
      onLapse: (id) => { recorder.add('lapse', { host: id }) },
      onListLost: () => {}
    })
    this.server = new StandInServer(options.wrap?.(this.standIn, this) ?? this.standIn)
  }

  async listen () {
    this.forwarder = new TcpForwarder(Number(new URL(await this.server.listen()).port))
    this.address = `127.0.0.1:${await this.forwarder.listen()}`
    this._timer = setInterval(() => { this._beat() }, HEARTBEAT_MS)
    this.register()
  }

  register () {
    if (this._isSilent) return
    this._renewedAtMs = performance.now()
    const entry = { ...this.standIn.entry(SERVICE, this.address), labels: this.labels }
    this._store.put(`servers/${this.hostId}`, entry)
  }

  _beat () {
    this.register()
    if (performance.now() - this._renewedAtMs >= ENTRY_EXPIRY_MS) this._store.remove(`servers/${this.hostId}`)
  }

  /** The host crashes: everything that ran there is gone, and its connections stay open without data. */
  crashDark () {
    this._isSilent = true
    this.forwarder.cut('toTarget', 'toClient')
    this.standIn.restart()
  }

  /** The host is cut off from the controllers, and crashes and starts again behind the cut. It still reaches the store. */
  restartBehindCut () {
    this.forwarder.cut('toTarget', 'toClient')
    this.standIn.restart()
    this.register()
  }

  /** The host is up again under its id and address, and knows nothing of before. It writes its entry first. */
  comeBack (labels = this.labels) {
    this.labels = labels
    this.standIn.restart()
    this._isSilent = false
    this.register()
    this.forwarder.heal()
  }

  /** The host's process ends: its connections break, and new ones are refused. */
  crash () {
    this._isSilent = true
    this.server.refuseConnections()
    this.forwarder.dropAll()
    this.standIn.restart()
  }

  /** The host's process has started again, under the same id and address. It writes its entry first. */
  async startAgain (labels = this.labels) {
    this.labels = labels
    this.standIn.restart()
    this._isSilent = false
    this.register()
    await this.server.listen()
  }

  async close () {
    clearInterval(this._timer)
    this.server.close()
    await this.forwarder.close()
  }
}

/** A controller process, started with the command of the deploy file. */
export class Controller {
  constructor (id, settings, folder, recorder) {
    this.id = id
    this._recorder = recorder
    this._path = join(folder, `${id}.ini`)
    this.logLines = []
    writeFileSync(this._path, settings)
  }

  /** Starts the process, also again after it has ended. */
  async start () {
    this.exit = undefined
    this.urls = undefined
    const [program, ...args] = readRunCommand().split(' ')
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, JACKDAWREEL_CONFIG: this._path }, stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    child.once('exit', (code, signal) => {
      this.exit = { code, signal }
      this.urls = undefined
      this._recorder.add('controllerExit', { id: this.id, code, signal })
    })
    child.stderr.on('data', (chunk) => { this.logLines.push(String(chunk)) })
    await new Promise((resolve, reject) => {
      const timer = setTimeout(() => { reject(new Error(`${this.id} isn't ready`)) }, READY_TIMEOUT_MS)
      let rest = ''
      child.stdout.on('data', (chunk) => {
        const lines = (rest + chunk).split('\n')
        rest = lines.pop()
        for (const line of lines) {
          this.logLines.push(line)
          if (!line.includes('"ready":true')) continue
          this.urls = JSON.parse(line)
          clearTimeout(timer)
          resolve()
        }
      })
      child.once('exit', () => { clearTimeout(timer); reject(new Error(`${this.id} has ended: ${this.logLines.slice(-5).join('\n')}`)) })
    })
    this._recorder.add('controllerReady', { id: this.id, pid: child.pid })
  }

  get isRunning () {
    return this.child !== undefined && this.exit === undefined
  }

  async kill () {
    await this._end('SIGKILL')
  }

  /** Stops the process as the platform does before it starts it again. Resolves once it has ended. */
  async stop () {
    await this._end('SIGTERM')
  }

  async _end (signal) {
    if (!this.isRunning) return
    this._recorder.add('signal', { id: this.id, signal })
    const ended = new Promise((resolve) => { this.child.once('exit', resolve) })
    this.child.kill(signal)
    await ended
  }
}

function readRunCommand () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run = "(.+)"$/m.exec(text)[1]
}

function settingsText (id, storePort, advicePort) {
  const values = {
    node: id,
    region: 'region-a',
    zone: 'zone-a',
    'limits.cpuShare': 0.675,
    'limits.cores': 1,
    'limits.linkMbps': 1000,
    'limits.memoryMb': 350,
    'listen.front': '127.0.0.1:0',
    'listen.readyAddr': '127.0.0.1:0',
    ip: '127.0.0.1',
    'portRange.0': 0,
    'portRange.1': 0,
    'platform.address': `127.0.0.1:${storePort}`,
    'platform.ttlMinMs': 1000,
    advice: `127.0.0.1:${advicePort}`,
    'bounds.maxHoldMs': MAX_HOLD_MS,
    heartbeatMs: HEARTBEAT_MS,
    'bounds.farFactor': 1.5,
    'bounds.status_s': 120,
    'bounds.stopGraceMs': 200,
    'bounds.graceS': 6
  }
  return readFileSync(join(ROOT, 'deploy/controller.ini.template'), 'utf8').replace(/\{\{([^}]+)\}\}/g, (_, name) => {
    if (values[name] === undefined) throw new Error(`no value for ${name}`)
    return String(values[name])
  })
}

export class Cell {
  /** @param options `controllers`, `hosts`, `cpu` of a host, `workMs (task)`, `fails (task, run)`, `routes`, `wrap`, `wrapStore` */
  constructor (options, recorder, events = {}) {
    this.options = options
    this.recorder = recorder
    this.store = new StoreStandIn(1)
    this.hosts = []
    this.controllers = []
    this._events = events
    this._agent = new Agent({ keepAlive: true })
    this._folder = mkdtempSync(join(tmpdir(), 'review-'))
    this._storeServer = new StandInServer(options.wrapStore?.(this.store) ?? this.store)
    this._adviceServer = new StandInServer({ control () {}, dump: () => ({}), handle: (exchange) => { sendJson(exchange, 200, { allowed: [] }) } })
  }

  async start () {
    const storePort = Number(new URL(await this._storeServer.listen()).port)
    const advicePort = Number(new URL(await this._adviceServer.listen()).port)
    this.putConfig(this.options.routes ?? DEFAULT_ROUTES)
    for (let number = 0; number < this.options.hosts; number += 1) {
      const host = new Host(this.store, `i-${number.toString(16).padStart(8, '0')}`, this.options, this.recorder, this._events)
      this.hosts.push(host)
      await host.listen()
    }
    for (let number = 0; number < this.options.controllers; number += 1) {
      const id = `controller-${number}`
      const forwarder = new TcpForwarder(storePort)
      const controller = new Controller(id, settingsText(id, await forwarder.listen(), advicePort), this._folder, this.recorder)
      controller.store = forwarder
      this.controllers.push(controller)
    }
    await Promise.all(this.controllers.map((controller) => controller.start()))
  }

  putConfig (routes) {
    this._configVersion = (this._configVersion ?? 1) + 1
    this.store.put('op/config', {
      version: this._configVersion,
      routes,
      services: [{ name: SERVICE, healthPath: '/health', maxConns: 64, admissionCheck: false }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144 }
    })
  }

  /** Sends a call of a client to a controller; resolves with the status, 0 if there is no complete answer. */
  async call (controller, method, path, body, deadlineMs = 3000) {
    const sentMs = this.recorder.nowMs
    if (controller.urls === undefined) return { status: 0, text: 'the process does not run' }
    const answer = await sendCall(this._agent, controller.urls.url, method, path, body, deadlineMs)
    this.recorder.add('call', { to: controller.id, method, path, sentMs, status: answer.status, body: answer.text.slice(0, 200) })
    return answer
  }

  async close () {
    for (const controller of this.controllers) {
      await controller.kill()
      await controller.store.close()
    }
    for (const host of this.hosts) await host.close()
    this._agent.destroy()
    this._storeServer.close()
    this._adviceServer.close()
    rmSync(this._folder, { recursive: true, force: true })
  }
}

function sendCall (agent, url, method, path, body, deadlineMs) {
  return new Promise((resolve) => {
    const headers = { host: CALLER_HOST, 'x-jackdawreel-deadline': String(deadlineMs) }
    if (body !== undefined) headers['content-type'] = 'application/json'
    const call = request(url + path, { agent, method, headers, timeout: deadlineMs + 500 }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('end', () => { resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }) })
      response.on('error', () => { resolve({ status: 0, text: 'broken' }) })
    })
    call.on('timeout', () => { call.destroy(new Error('timeout')) })
    call.on('error', (error) => { resolve({ status: 0, text: String(error.message) }) })
    call.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

const COMMON = { host: CALLER_HOST, kind: 'non_idempotent', timeoutMs: 3000, service: SERVICE, maxAttempts: 6, stretch: 2 }
const DEFAULT_ROUTES = [
  { ...COMMON, name: 'r-batch', prefix: '/batch/', targetDurationMs: 3000, priority: 2 },
  { ...COMMON, name: 'r-urgent', prefix: '/urgent/', targetDurationMs: 500, priority: 0 }
]

let lastId = 0
/** A new id of 16 hexadecimal digits. */
export function newId () {
  lastId += 1
  return (Date.now() * 4096 + lastId).toString(16).padStart(16, '0').slice(-16)
}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase (folderUrl, options, events, play) {
  const recorder = new Recorder(fileURLToPath(new URL('.', folderUrl)))
  const cell = new Cell(options, recorder, events)
  const giveUp = (reason) => {
    recorder.say(`the case couldn't run: ${reason instanceof Error ? reason.stack ?? reason.message : String(reason)}`)
    recorder.write()
    for (const { child } of cell.controllers) child?.kill('SIGKILL')
    process.exit(2)
  }
  process.on('uncaughtException', giveUp)
  for (const name of ['SIGTERM', 'SIGINT']) process.on(name, () => { giveUp(name) })
  setTimeout(() => { giveUp(`it takes longer than ${MAX_CASE_MS} ms`) }, MAX_CASE_MS).unref()
  let code = 2
  try {
    await cell.start()
    code = await play(cell, recorder) ? 1 : 0
  } catch (error) {
    recorder.say(`the case couldn't run: ${error instanceof Error ? error.stack ?? error.message : String(error)}`)
  }
  await cell.close()
  recorder.write()
  if (process.env.LOGS !== undefined) writeFileSync(process.env.LOGS, cell.controllers.map(({ id, logLines }) => [id, ...logLines].join('\n')).join('\n'))
  process.exit(code)
}
