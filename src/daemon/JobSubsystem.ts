/**
 * The parts of a scheduler process that handle jobs: the decision engine for resources, the pool of workers, the task service, and
 * the jobs of the id shards that this process owns.
 */

import { DecisionEngine } from '../common/policy/DecisionEngine.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { WorkerClient } from '../runtime/WorkerClient.js'
import { JobOwner, JobPeers, registerJobHandlers, TaskService, WorkerPool } from '../scheduler/jobs/index.js'

import type { IDisposable } from '../common/Types.js'
import type { DaemonCore } from './DaemonCore.js'
import type { ShardOwnershipSubsystem } from './ShardOwnershipSubsystem.js'

export class JobSubsystem implements IDisposable {
  public readonly engine: DecisionEngine
  public readonly tasks: TaskService
  public readonly workers: WorkerPool
  public readonly jobs: JobOwner

  public constructor (core: DaemonCore, ownership: ShardOwnershipSubsystem) {
    const { hub, router, config, hasher, clock, random, log } = core
    const { directory } = ownership
    this.engine = new DecisionEngine(clock, random, { kind: 'resources' })
    const peers = new JobPeers(hub, clock)
    const idShardOf = (jobId: string): string => hasher.idShard(jobId)
    const sharedContext = { engine: this.engine, peers, config, idShardOf, clock, timers: clock, log }
    this.tasks = new TaskService({ ...sharedContext, shards: router })
    this.workers = new WorkerPool({
      ...sharedContext, client: new WorkerClient(), directory, shards: ownership.createShardEvents()
    }, this.tasks.runner)
    this.tasks.runner.setPool(this.workers)
    this.jobs = new JobOwner({
      ...sharedContext,
      shards: router,
      jobLog: ownership.claims,
      hosts: () => directory.hosts,
      taskChart: loadChart('task')._unsafeUnwrap(),
      random
    })
    registerJobHandlers(peers, this.tasks, this.jobs)
  }

  public dispose (): void {
    for (const part of [this.jobs, this.workers, this.tasks]) part.dispose()
  }
}
