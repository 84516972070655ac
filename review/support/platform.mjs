/**
 * A platform for cases that need other work times or routes than the project's stand-in of the platform has; made of the project's
 * stand-ins of the store, the advice service and the hosts.
 */

import { AdviceStandIn } from '../../dist/platform/standins/AdviceStandIn.js'
import { HostRegistration } from '../../dist/platform/standins/HostRegistration.js'
import { HostStandIn } from '../../dist/platform/standins/HostStandIn.js'
import { CALLER_HOST } from '../../dist/platform/standins/PlatformStandIn.js'
import { StoreStandIn } from '../../dist/platform/standins/StoreStandIn.js'
import { StandInServer } from '../../dist/test/standins/StandInServer.js'
import { TcpForwarder } from '../../dist/test/support/TcpForwarder.js'

const SERVICE = 'pool'
const ADVICE_MS = 15

export class Platform {
  hosts = []
  store = new StoreStandIn(1)
  #storeServer = new StandInServer(this.store)
  #adviceServer = new StandInServer(new AdviceStandIn(ADVICE_MS))

  /**
   * @param options hosts, hostCpu, maxHoldMs, and workMs, which returns how long a task runs
   * @param events the observer of the hosts
   */
  constructor (options, events) {
    this.options = options
    this.events = events
  }

  async start () {
    this.storePort = portOf(await this.#storeServer.listen())
    this.advicePort = portOf(await this.#adviceServer.listen())
    const common = { host: CALLER_HOST, kind: 'non_idempotent', timeoutMs: 3000, service: SERVICE, maxAttempts: 6, stretch: 2 }
    this.store.put('op/config', {
      version: 1,
      routes: [{ ...common, name: 'r-batch', prefix: '/batch/', targetDurationMs: 3000, priority: 2 }],
      services: [{ name: SERVICE, healthPath: '/health', maxConns: 64, admissionCheck: false }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144 }
    })
    for (let number = 0; number < this.options.hosts; number += 1) await this.#addHost(`i-${String(number).padStart(8, '0')}`)
  }

  /** Another way to the store, so that one process can be cut off from it. */
  async createStoreForwarder () {
    const forwarder = new TcpForwarder(this.storePort)
    return { forwarder, port: await forwarder.listen() }
  }

  async close () {
    for (const { server, registration } of this.hosts) {
      registration.close()
      server.close()
    }
    this.#storeServer.close()
    this.#adviceServer.close()
  }

  async #addHost (hostId) {
    const { hostCpu, maxHoldMs, workMs } = this.options
    const host = new HostStandIn({ hostId, cpu: hostCpu, maxHoldMs, workMs, fails: () => false, random: () => 0 }, this.events)
    const server = new StandInServer(host)
    const address = `127.0.0.1:${portOf(await server.listen())}`
    const registration = new HostRegistration(this.store, hostId, () => host.entry(SERVICE, address))
    this.hosts.push({ hostId, host, server, registration })
  }
}

/** Observes the hosts: what has started, and what runs, by the id of its job. */
export class RunLog {
  started = new Set()
  running = new Map()

  constructor (record) {
    this.record = record
  }

  onStart (hostId, task, run) {
    this.record.add(`${hostId} starts ${task} run ${run}`)
    this.started.add(jobOf(task))
    this.running.set(`${task}@${hostId}`, jobOf(task))
  }

  onEnd (hostId, task, run, outcome) {
    this.record.add(`${hostId} ends ${task} run ${run}: ${outcome}`)
    this.running.delete(`${task}@${hostId}`)
  }

  onAcknowledged () {}

  onLapse () {}

  onListLost () {}

  /** The number of tasks of the job that run. */
  count (jobId) {
    return [...this.running.values()].filter((each) => each === jobId).length
  }
}

function jobOf (task) {
  return task.slice(0, 16)
}

function portOf (url) {
  return Number(new URL(url).port)
}
