/**
 * The parts of a scheduler process that handle requests: the decision engine for slots, the pool of runners, and the request service.
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
import type { ShardOwnershipSubsystem } from './ShardOwnershipSubsystem.js'

/**
 * How often queued requests are checked for a move to another scheduler, in ms. Load summaries arrive once a second, so a shorter
 * interval would bring little new information.
 */
const SHIFT_INTERVAL_MS = 500

export class RequestSubsystem {
  public readonly engine: DecisionEngine
  public readonly runners: RunnerPool
  public readonly service: RequestService
  private readonly _runnerClient = new RunnerClient()

  public constructor (private readonly _core: DaemonCore, private readonly _ownership: ShardOwnershipSubsystem) {
    const { clock, log, random } = _core
    this.engine = new DecisionEngine(clock, random, { kind: 'slots' })
    this.runners = new RunnerPool({
      engine: this.engine,
      client: this._runnerClient,
      directory: _ownership.directory,
      shards: _ownership.createShardEvents(),
      clock,
      timers: clock,
      log,
      createAdoptedItem
    })
    this.service = this._createService()
    this._startShifting()
    this._registerHandlers()
  }

  private _createService (): RequestService {
    const { self, hub, router, config, hasher, clock, random, log, settings } = this._core
    const localOutcomeOf = async (attemptId: string, waitMs: number): Promise<IFinalAnswer> => await this.service.outcomeOf(attemptId, waitMs)
    const storeReachable = (): boolean => this._ownership.isStoreReachable
    const claims = new ClaimClient({ self, hub, router, local: this._ownership.claims, storeReachable, localOutcomeOf, clock, timers: clock })
    return new RequestService({
      self,
      engine: this.engine,
      runners: this.runners,
      client: this._runnerClient,
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

  private _startShifting (): void {
    const { self, hub, clock, random, disposables } = this._core
    const shifter = new QueueShifter(self, clock, random)
    disposables.add(hub.listen('loadSummary', (summary) => shifter.putSummary(summary)))
    disposables.add(hub.onLost((peer) => shifter.forget(peer.processId)))
    disposables.add(clock.every(SHIFT_INTERVAL_MS, () => this.service.shiftQueued(shifter)))
  }

  private _registerHandlers (): void {
    const { hub } = this._core
    const { claims } = this._ownership
    hub.handle('submit', async (request) => await this.service.submit(request))
    hub.handle('cancel', async ({ attemptId }) => ({ cancelled: this.service.cancel(attemptId) }))
    hub.handle('outcomeOf', async ({ attemptId, waitMs }) => await this.service.outcomeOf(attemptId, waitMs))
    hub.handle('claim', async (request) => await claims.claim(request))
    hub.handle('block', async (request) => await claims.block(request))
    hub.handle('release', async (request) => await claims.release(request))
  }
}
