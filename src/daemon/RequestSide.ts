/**
 * The requests of a scheduler process: its decision engine for slots, its runners, and the way of a request.
 */

import { DecisionEngine } from '../common/policy/DecisionEngine.js'
import { RunnerClient } from '../runtime/RunnerClient.js'
import { RunnerPool } from '../scheduler/hosts/RunnerPool.js'
import { createAdoptedItem } from '../scheduler/requests/AdoptedItem.js'
import { ClaimClient } from '../scheduler/requests/ClaimClient.js'
import { QueueShifter } from '../scheduler/requests/QueueShifter.js'
import { RequestService } from '../scheduler/requests/RequestService.js'

import type { IFinalAnswer } from '../common/Types.js'
import type { DaemonCore } from './DaemonCore.js'
import type { OwnershipSide } from './OwnershipSide.js'

/** Summaries come once a second; in between there is little new to decide by. */
const SHIFT_MS = 500

export class RequestSide {
  public readonly engine: DecisionEngine
  public readonly runners: RunnerPool
  public readonly service: RequestService
  private readonly _client = new RunnerClient()

  public constructor (private readonly _core: DaemonCore, private readonly _ownership: OwnershipSide) {
    const { clock, log, random } = _core
    this.engine = new DecisionEngine(clock, random, { kind: 'slots' })
    this.runners = new RunnerPool({
      engine: this.engine,
      client: this._client,
      directory: _ownership.directory,
      shards: _ownership.shardEvents(),
      clock,
      timers: clock,
      log,
      createAdoptedItem
    })
    this.service = this._createService()
    this._followQueues()
    this._handle()
  }

  private _createService (): RequestService {
    const { self, hub, router, config, hasher, clock, random, log, settings } = this._core
    const localOutcomeOf = async (attemptId: string, waitMs: number): Promise<IFinalAnswer> => await this.service.outcomeOf(attemptId, waitMs)
    const storeReachable = (): boolean => this._ownership.storeReachable
    const claims = new ClaimClient({ self, hub, router, local: this._ownership.claims, storeReachable, localOutcomeOf, clock, timers: clock })
    return new RequestService({
      self,
      engine: this.engine,
      runners: this.runners,
      client: this._client,
      claims,
      bounds: settings.limits,
      config,
      hasher,
      clock,
      timers: clock,
      random,
      log
    })
  }

  private _followQueues (): void {
    const { self, hub, clock, random, disposables } = this._core
    const shifter = new QueueShifter(self, clock, random)
    disposables.add(hub.listen('loadSummary', (summary) => shifter.putSummary(summary)))
    disposables.add(hub.onLost((peer) => shifter.forget(peer.processId)))
    disposables.add(clock.every(SHIFT_MS, () => this.service.shiftQueued(shifter)))
  }

  private _handle (): void {
    const { hub } = this._core
    const { claims } = this._ownership
    hub.handle('submit', async (ask) => await this.service.submit(ask))
    hub.handle('cancel', async ({ attemptId }) => ({ cancelled: this.service.cancel(attemptId) }))
    hub.handle('outcomeOf', async ({ attemptId, waitMs }) => await this.service.outcomeOf(attemptId, waitMs))
    hub.handle('claim', async (ask) => await claims.claim(ask))
    hub.handle('block', async (ask) => await claims.block(ask))
    hub.handle('release', async (ask) => await claims.release(ask))
  }
}
