/**
 * Jobs on workers, ready to be wired into the scheduler. One `TaskService` places tasks on the workers that this
 * process owns; one `JobOwner` keeps the jobs whose id shards it owns. Either talks to all schedulers, this one
 * included, through `JobPeers`.
 *
 *     const peers = new JobPeers(hub, clock)
 *     const idShardOf = (jobId: string): string => hasher.idShard(jobId)
 *     const tasks = new TaskService({ engine: taskEngine, peers, shards: router, config, idShardOf, clock, timers, log })
 *     const pool = new WorkerPool({ client: new WorkerClient(), engine: taskEngine, directory, shards, clock, timers, log }, tasks.runner)
 *     tasks.runner.setPool(pool)
 *     const jobs = new JobOwner({
 *       jobLog: claims, peers, shards: router, config, hosts: () => directory.hosts, idShardOf, taskChart: loadChart('task'),
 *       clock, timers, random, log
 *     })
 *     serveJobs(peers, tasks, jobs)
 *
 * `shards` of the pool is what `RunnerPool` gets too; pool and `RunnerPool` each take the shards of their own kind. The
 * load summary's worker shards come from `taskEngine.load()`, and `router` must be told the summaries of this process
 * and of its peers.
 *
 *     onAcquired, kind 'ids':  const live = await claims.takeOver(shardId, epoch)
 *                              jobs.takeOver(shardId, epoch, live.value); owner.ready(shardId, epoch)
 *     onLost, kind 'ids':      jobs.drop(shardId); claims.drop(shardId)
 *     planned stop:            tasks.drain(), then release the shards; running tasks go on under their next owner
 *     end:                     jobs.dispose(); pool.dispose(); tasks.dispose()
 *     dump:                    jobs.dump(), pool.dump(), taskEngine.dump()
 */

import type { JobOwner } from './JobOwner.js'
import type { JobPeers } from './JobPeers.js'
import type { TaskService } from './TaskService.js'

export { JobOwner } from './JobOwner.js'
export { JobPeers } from './JobPeers.js'
export { TaskService } from './TaskService.js'
export { WorkerPool } from './WorkerPool.js'
export type { IJobLog, IJobPeers, IShardView } from './Types.js'

/** Answers the calls about jobs and tasks, from peers and from ourselves. */
export function serveJobs (peers: JobPeers, tasks: TaskService, jobs: JobOwner): void {
  peers.handle('submitJob', async (job) => await jobs.submit(job))
  peers.handle('jobStatus', ({ jobId }) => jobs.status(jobId))
  peers.handle('cancelJob', async ({ jobId }) => await jobs.cancel(jobId))
  peers.handle('placeTask', (ask) => tasks.place(ask))
  peers.handle('placeGroup', (ask) => tasks.placeGroup(ask))
  peers.handle('reserve', (ask) => tasks.reservations.reserve(ask))
  peers.handle('startReserved', (ref) => tasks.reservations.start(ref))
  peers.handle('dropReservation', (ref) => tasks.reservations.drop(ref))
  peers.handle('cancelTask', (ask) => tasks.cancel(ask))
  peers.handle('tasksOf', (ask) => tasks.tasksOf(ask))
  peers.listen((update, from) => { jobs.onTaskUpdate(update, from) })
}
