/**
 * Claims in real logs and a store with faults, in long random runs: several owners, of which the older ones don't know
 * that they have been superseded, and dispatchers that follow the protocol. The reference model of "at most once" is a
 * map: each key is dispatched by at most one attempt, and never by an attempt that was reported as blocked.
 */

import test from 'ava'
import fc from 'fast-check'
import { MemoryStore } from '../../../test/support/MemoryStore.js'
import { advance, settle } from '../../../test/support/advance.js'
import { ManualClock } from '../../common/Clock.js'
import { ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS } from './ClaimService.js'

import type { IClaimRequest } from '../../common/protocol/Types.js'

const SHARD = 'ids/00'
const SEED = 4_711
const RUNS = 300
const PROCESSES = 3

class Run {
  private readonly _clock = new ManualClock()
  private readonly _store = new MemoryStore(this._clock)
  private _nonces = 0
  private _epoch = 0
  private readonly _services = Array.from({ length: PROCESSES }, (_, index) => this._newService(`p${index}`))
  private readonly _dispatched = new Map<string, string>()
  private readonly _blocked = new Set<string>()
  private readonly _ended = new Set<string>()
  public granted = 0

  public takeOver (process: number): void {
    this._epoch += 1
    this._services[process]?.takeOver(SHARD, this._epoch)
  }

  public async claim (process: number, key: number, attempt: number): Promise<void> {
    const request = this._request(key, attempt)
    if (this._ended.has(request.attemptId)) return
    const reply = await this._services[process]?.claim(request)
    if (this._ended.has(request.attemptId) || reply === undefined) return
    if (reply.decision === 'granted') this._dispatch(request)
    else if (reply.decision !== 'notOwner') this._ended.add(request.attemptId)
  }

  public async block (process: number, key: number, attempt: number): Promise<void> {
    const request = this._request(key, attempt)
    const reply = await this._services[process]?.block(request)
    if (reply?.decision !== 'blocked') return
    this._blocked.add(request.attemptId)
    this._checkNotBlocked(request)
  }

  /** A dispatcher that stops waiting ends its attempt first and then releases the claim. */
  public giveUp (process: number, key: number, attempt: number): void {
    const request = this._request(key, attempt)
    if (this._dispatched.get(request.claimKey) === request.attemptId) return
    this._ended.add(request.attemptId)
    this._services[process]?.release(request)
  }

  public async injectFault (kind: Fault): Promise<void> {
    if (kind === 'down') this._store.setDown(true)
    if (kind === 'up') this._store.setDown(false)
    if (kind === 'hang') this._store.holdAnswers()
    if (kind === 'answer') this._store.releaseAnswers()
    if (kind === 'answerLost' || kind === 'requestLost') this._store.failNextWrite(kind)
    await settle()
  }

  public async advanceTime (ms: number): Promise<void> {
    await advance(this._clock, ms, 100)
  }

  /** Removes all faults, then checks that claims are served again: a new attempt of an unused key must be dispatched. */
  public async finish (): Promise<void> {
    this._store.clearFaults()
    this._store.releaseAnswers()
    this._store.setDown(false)
    this.takeOver(0)
    await this.advanceTime(3_000)
    const last = this.claim(0, 99, 0)
    await this.advanceTime(1_000)
    await last
    if (!this._dispatched.has('k99')) throw new Error('claims are not served again after the faults')
    for (const service of this._services) service.dispose()
  }

  private _newService (owner: string): ClaimService {
    return new ClaimService(this._store, this._clock, () => `n${this._nonces++}`, { ...DEFAULT_CLAIM_SERVICE_OPTIONS, owner, sealBytes: 600 })
  }

  private _request (key: number, attempt: number): IClaimRequest {
    return { idShard: SHARD, claimKey: `k${key}`, attemptId: `k${key}a${attempt}`, holder: `h${attempt}`, ageMs: 0 }
  }

  private _dispatch (request: IClaimRequest): void {
    const first = this._dispatched.get(request.claimKey) ?? request.attemptId
    if (first !== request.attemptId) throw new Error(`${request.claimKey} ran twice: ${first} and ${request.attemptId}`)
    this.granted += 1
    this._dispatched.set(request.claimKey, request.attemptId)
    this._checkNotBlocked(request)
  }

  private _checkNotBlocked ({ claimKey, attemptId }: IClaimRequest): void {
    if (this._dispatched.get(claimKey) === attemptId && this._blocked.has(attemptId)) throw new Error(`${attemptId} was reported as blocked, and ran`)
  }
}

type Fault = 'down' | 'up' | 'hang' | 'answer' | 'answerLost' | 'requestLost'

interface ICommand {
  readonly type: 'claim' | 'block' | 'giveUp' | 'takeOver' | 'fault' | 'pass'
  readonly process: number
  readonly key: number
  readonly attempt: number
  readonly fault: Fault
  readonly ms: number
}

const command: fc.Arbitrary<ICommand> = fc.record({
  type: fc.oneof(
    { weight: 8, arbitrary: fc.constant('claim' as const) },
    { weight: 3, arbitrary: fc.constantFrom('block' as const, 'giveUp' as const) },
    { weight: 1, arbitrary: fc.constant('takeOver' as const) },
    { weight: 3, arbitrary: fc.constant('fault' as const) },
    { weight: 4, arbitrary: fc.constant('pass' as const) }
  ),
  process: fc.nat(PROCESSES - 1),
  key: fc.nat(5),
  attempt: fc.nat(4),
  fault: fc.constantFrom('down', 'up', 'up', 'hang', 'answer', 'answer', 'answerLost', 'requestLost'),
  ms: fc.constantFrom(10, 100, 300, 1_000)
})

test('no key is dispatched twice and no blocked attempt runs, whatever fails', async (t) => {
  let granted = 0
  await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 40, maxLength: 120 }), async (commands) => {
    const run = new Run()
    const pendingCalls: Promise<void>[] = []
    run.takeOver(0)
    await settle()
    for (const { type, process, key, attempt, fault, ms } of commands) {
      if (type === 'claim') pendingCalls.push(run.claim(process, key, attempt))
      if (type === 'block') pendingCalls.push(run.block(process, key, attempt))
      if (type === 'giveUp') run.giveUp(process, key, attempt)
      if (type === 'takeOver') run.takeOver(process)
      if (type === 'fault') await run.injectFault(fault)
      if (type === 'pass') await run.advanceTime(ms)
    }
    await run.finish()
    await Promise.all(pendingCalls)
    granted += run.granted
  }), { seed: SEED, numRuns: RUNS })
  t.true(granted > RUNS)
})
