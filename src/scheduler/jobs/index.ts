/**
 * Jobs on workers. One `TaskService` places tasks on the workers that this process owns; one `JobOwner` manages the jobs
 * whose id shards it owns. Both call all schedulers, including this one, through `JobPeers`. The scheduler wires the
 * parts as follows:
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
 *     registerJobHandlers(peers, tasks, jobs)
 *
 * The pool gets the same `shards` as `RunnerPool`; each of them takes the shards of its own kind. The load summary's worker
 * shards come from `taskEngine.load()`, and `router` must be given the summaries of this process and of its peers.
 *
 *     onAcquired, kind 'ids':  const live = await claims.takeOver(shardId, epoch)
 *                              jobs.takeOver(shardId, epoch, live.value); owner.ready(shardId, epoch)
 *     onLost, kind 'ids':      jobs.removeShard(shardId); claims.removeShard(shardId)
 *     planned stop:            tasks.drain(), then release the shards; running tasks continue under their next owner
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

/** Registers the handlers of the calls about jobs and tasks, from peers and from this process. */
export function registerJobHandlers (peers: JobPeers, tasks: TaskService, jobs: JobOwner): void {
  peers.handle('submitJob', async (job) => await jobs.submit(job))
  peers.handle('jobStatus', ({ jobId }) => jobs.status(jobId))
  peers.handle('cancelJob', async ({ jobId }) => await jobs.cancel(jobId))
  peers.handle('placeTask', (request) => tasks.place(request))
  peers.handle('placeGroup', (request) => tasks.placeGroup(request))
  peers.handle('reserve', (request) => tasks.reservations.reserve(request))
  peers.handle('startReserved', (ref) => tasks.reservations.start(ref))
  peers.handle('dropReservation', (ref) => tasks.reservations.drop(ref))
  peers.handle('cancelTask', (request) => tasks.cancel(request))
  peers.handle('tasksOf', (request) => tasks.tasksOf(request))
  peers.listen((update, from) => { jobs.onTaskUpdate(update, from) })
}
