/**
 * Measures claims and accepted jobs in virtual time: store writes and bytes at growing rates, with the group commit of the default
 * settings.
 */

import { ManualClock } from '../../src/common/Clock.js'
import { SETTINGS_DEFAULTS } from '../../src/runtime/settings/SettingsDefaults.js'
import { ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS } from '../../src/scheduler/ownership/ClaimService.js'
import { settle } from '../../test/support/advance.js'
import { MeteredStore } from './MeteredStore.js'
import { processorUsOf } from './Readings.js'
import { printFigures, printSlope, round } from './Slope.js'

import type { IJobSpec } from '../../src/common/protocol/Types.js'

const SHARD = 'ids/00'
/** Claims a second of one id shard. */
const CLAIM_RATES = [2, 20, 200, 2_000]
/** Accepted jobs a second of one id shard. */
const JOB_RATES = [1, 4, 16, 64]
const TASKS_PER_JOB = [1, 16, 128]
const ID_SHARDS = [8, 40, 160]
const SECONDS = 5
const STEP_MS = 10
const MS_PER_SECOND = 1_000

interface ICost {
  readonly writesPerSecond: number
  readonly bytesPerSecond: number
  readonly usPerSecond: number
}

class ClaimRig {
  private readonly _clock = new ManualClock()
  private readonly _store = new MeteredStore(this._clock)
  private readonly _service: ClaimService
  private _sentCount = 0

  public constructor (idShardCount: number) {
    let nonces = 0
    this._service = new ClaimService(this._store, this._clock, () => `nonce-${nonces++}`, {
      ...DEFAULT_CLAIM_SERVICE_OPTIONS,
      owner: 'scheduler-1',
      idShardCount,
      fleetWritesPerSecond: SETTINGS_DEFAULTS.ids.storeWritesPerSecond,
      retentionMs: SETTINGS_DEFAULTS.ids.claimRetentionMs
    })
  }

  public async measureClaims (perSecond: number): Promise<ICost> {
    return await this._measure(perSecond, async (id) => {
      await this._service.claim({ idShard: SHARD, claimKey: `k${id}-0123456789`, attemptId: `gateway-west-1:${id}`, holder: 'scheduler-west-2', ageMs: 0 })
    })
  }

  public async measureJobs (perSecond: number, tasks: number): Promise<ICost> {
    return await this._measure(perSecond, async (id) => { await this._service.acceptJob(SHARD, jobOf(`job-${id}`, tasks)) })
  }

  private async _measure (perSecond: number, send: (id: number) => Promise<void>): Promise<ICost> {
    await this._service.takeOver(SHARD, 1)
    this._store.reset()
    const pending: Array<Promise<void>> = []
    const usedUs = await processorUsOf(async () => {
      for (let step = 1; step <= SECONDS * MS_PER_SECOND / STEP_MS; step++) {
        const dueCount = step * STEP_MS / MS_PER_SECOND * perSecond
        while (this._sentCount < dueCount) pending.push(send(this._sentCount++))
        this._clock.advance(STEP_MS)
        await settle()
      }
    })
    const { writes, writtenBytes } = this._store
    return { writesPerSecond: writes / SECONDS, bytesPerSecond: writtenBytes / SECONDS, usPerSecond: usedUs / SECONDS }
  }
}

function jobOf (jobId: string, tasks: number): IJobSpec {
  return {
    jobId,
    service: 'match-model',
    caller: 'pawprint',
    longRunning: false,
    tasks: Array.from({ length: tasks }, (_, index) => ({ taskId: `task-${index}`, runMs: 60_000, resources: { cores: 4, memoryBytes: 2 ** 33, accelerators: 0 } }))
  }
}

export async function measureClaims (): Promise<void> {
  const claims: Array<readonly [number, ICost]> = []
  for (const rate of CLAIM_RATES) claims.push([rate, await new ClaimRig(SETTINGS_DEFAULTS.ids.idShards).measureClaims(rate)])
  const jobs: Array<readonly [number, ICost]> = []
  for (const rate of JOB_RATES) jobs.push([rate, await new ClaimRig(SETTINGS_DEFAULTS.ids.idShards).measureJobs(rate, 1)])
  const tasks: Array<readonly [number, ICost]> = []
  for (const size of TASKS_PER_JOB) tasks.push([size, await new ClaimRig(SETTINGS_DEFAULTS.ids.idShards).measureJobs(1, size)])
  const describeWrites = (costs: typeof claims): object => ({
    sizes: costs.map(([size]) => size),
    writesPerSecond: costs.map(([, cost]) => round(cost.writesPerSecond)),
    bytesPerWrite: costs.map(([, cost]) => round(cost.bytesPerSecond / cost.writesPerSecond))
  })
  printFigures({ figure: 'claims a second of one id shard: store writes', ...describeWrites(claims) })
  printSlope({ slope: 'claims: processor time per claim', unit: 'us', points: claims.map(([size, cost]) => [size, cost.usPerSecond]) })
  printFigures({ figure: 'jobs accepted a second by one id shard: store writes', ...describeWrites(jobs) })
  printSlope({ slope: 'jobs: bytes written per task of a job', unit: 'bytes', points: tasks.map(([size, cost]) => [size, cost.bytesPerSecond]) })
  const shards: Array<readonly [number, ICost]> = []
  for (const count of ID_SHARDS) shards.push([count, await new ClaimRig(count).measureClaims(200)])
  printFigures({ figure: 'id shards that share the write budget: commits of one of them', ...describeWrites(shards) })
}
