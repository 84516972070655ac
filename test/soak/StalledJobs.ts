/**
 * Finds jobs that could go on and have had nothing running for a while.
 */

/** A job that could go on starts a task within this time, in ms. */
const MAX_STALL_MS = 3000

export class StalledJobs {
  /** Since when each job could go on, as far as the last calls of `record` show. */
  private readonly _sinceMs = new Map<string, number>()
  private readonly _lastRunAtMs = new Map<string, number>()
  private readonly _reported = new Set<string>()

  /** Records that a task of the job has started or ended now. */
  public recordRun (jobId: string): void {
    this._lastRunAtMs.set(jobId, performance.now())
  }

  /** Takes the ids of the jobs that could go on now and have nothing running, and returns those that have stalled and were not returned before. */
  public record (jobIds: readonly string[]): readonly string[] {
    const nowMs = performance.now()
    const sinceMs = new Map(jobIds.map((jobId) => [jobId, this._sinceMs.get(jobId) ?? nowMs]))
    this._sinceMs.clear()
    for (const [jobId, atMs] of sinceMs) this._sinceMs.set(jobId, Math.max(atMs, this._lastRunAtMs.get(jobId) ?? 0))
    const stalled = jobIds.filter((jobId) => nowMs - (this._sinceMs.get(jobId) ?? nowMs) > MAX_STALL_MS && !this._reported.has(jobId))
    for (const jobId of stalled) this._reported.add(jobId)
    return stalled
  }
}
