/**
 * The parts that the gateway and the scheduler process have in common: clock, log, links, store client, configuration,
 * membership and the routing to schedulers.
 */

import { randomBytes, randomInt } from 'node:crypto'
import xxhash from 'xxhash-wasm'
import { SystemClock } from '../common/Clock.js'
import { ConfigReplica } from '../common/config/ConfigReplica.js'
import { DisposableStore } from '../common/Emitter.js'
import { SeededRandom } from '../common/Random.js'
import { AttemptIds, IdHasher } from '../common/requests/AttemptIds.js'
import { SchedulerRouter } from '../common/routing/SchedulerRouter.js'
import { MembershipAgent } from '../peer/MembershipAgent.js'
import { PeerHub } from '../peer/PeerHub.js'
import { ConfigWatcher } from '../runtime/config/ConfigWatcher.js'
import { KEY_VALUE_DEFAULTS, KeyValueClient } from '../runtime/KeyValueClient.js'
import { Logger } from '../runtime/Logger.js'
import { ConfigExchange } from './ConfigExchange.js'

import type { IMember } from '../common/protocol/Types.js'
import type { IProcessIdentity } from '../common/Types.js'
import type { ISettings } from '../runtime/settings/Types.js'

const MAX_SEED = 0x7fffffff
const CONFIG_RETRY_INTERVAL_MS = 1000
const NONCE_BYTES = 9

export class DaemonCore {
  public readonly clock = new SystemClock()
  public readonly random = new SeededRandom(randomInt(MAX_SEED))
  public readonly config = new ConfigReplica()
  public readonly disposables = new DisposableStore()
  public readonly log: Logger
  public readonly hub: PeerHub
  public readonly store: KeyValueClient
  public readonly router: SchedulerRouter
  public readonly attemptIds: AttemptIds
  public readonly watcher: ConfigWatcher
  private _agent: MembershipAgent | undefined
  private readonly _configExchange: ConfigExchange

  private constructor (public readonly settings: ISettings, public readonly self: IProcessIdentity, public readonly hasher: IdHasher) {
    const { clock, random } = this
    this.log = new Logger(clock, { processId: self.processId, level: settings.log.level, maxLinesPerSecond: settings.log.maxLinesPerSecond })
    this.hub = new PeerHub(self, peerOptionsOf(settings), { clock, timers: clock, random, log: this.log })
    this.store = new KeyValueClient({ ...KEY_VALUE_DEFAULTS, url: settings.store.url, callTimeoutMs: settings.store.callTimeoutMs }, clock, random)
    this.router = new SchedulerRouter(self.region, random)
    this.attemptIds = new AttemptIds(self)
    this.watcher = new ConfigWatcher(this.store, this.config, clock, this.log, {
      retryMs: CONFIG_RETRY_INTERVAL_MS,
      fetchPeerEntries: async () => await this._configExchange.fetchPeerEntries()
    })
    this._configExchange = this.disposables.add(new ConfigExchange(this.hub, this.config, this.watcher, clock))
    this.disposables.add(this.watcher)
    this._trackPeerLoad()
  }

  public static async create (settings: ISettings): Promise<DaemonCore> {
    const { h32, h64ToString } = await xxhash()
    const hasher = new IdHasher((text) => h64ToString(text), (text) => h32(text), settings.ids.idShards)
    const self: IProcessIdentity = {
      processId: settings.process.id,
      incarnation: Date.now(),
      region: settings.process.region,
      failureDomain: settings.process.failureDomain
    }
    const core = new DaemonCore(settings, self, hasher)
    const peerUrl = await core.hub.start()
    if (peerUrl.isErr()) throw peerUrl.error
    return core
  }

  /** The URL at which peers connect to this process. */
  public get peerUrl (): string {
    const { advertise } = this.settings.peer
    return advertise === undefined ? this.hub.url ?? '' : `ws://${advertise.ip}:${advertise.port}`
  }

  /** The agent that tracks the members of the cell by what the store, the links and the peers report. */
  public get agent (): MembershipAgent {
    if (this._agent === undefined) throw new Error('the membership agent exists only after join()')
    return this._agent
  }

  /** Announces this process to the other members and starts to discover them. */
  public join (operatorUrl: string): void {
    const { clock, random, log, settings } = this
    const own: Omit<IMember, 'state'> = { ...this.self, role: settings.process.role, peerUrl: this.peerUrl, operatorUrl }
    const environment = { clock, timers: clock, random, log }
    this._agent = this.disposables.add(new MembershipAgent(this.hub, own, { seeds: settings.peer.seeds }, environment))
    this._agent.start()
  }

  /** Returns a unique value for each write, so that this process recognises its own write if the store's answer was lost. */
  public createNonce (): string {
    return randomBytes(NONCE_BYTES).toString('base64url')
  }

  private _trackPeerLoad (): void {
    this.disposables.add(this.hub.listen('loadSummary', (summary) => this.router.updateSummary(summary)))
    this.disposables.add(this.hub.onLost((peer) => this.router.removeScheduler(peer.processId)))
  }
}

function peerOptionsOf (settings: ISettings): ConstructorParameters<typeof PeerHub>[1] {
  const { listen, sharedKey, heartbeatMs, silenceMs, maxMessageBytes } = settings.peer
  return { listenIp: listen.ip, listenPort: listen.port, sharedKey, heartbeatMs, silenceLimitMs: silenceMs, maxFrameBytes: maxMessageBytes }
}
