/**
 * Describes a step that waits in a simulated cell, for the message of a failed test: what it waits for, its advice, the runs of its job, and
 * what its workspace uses.
 */

import type { Step } from '../../src/common/cell/Job.js'
import type { BurstCell } from './BurstCell.js'

export function describeStep (burst: BurstCell, step: Step, idleMs: number): string {
  const { cell, faults, calmAtMs } = burst
  const { job, number, spec } = step
  const nowMs = cell.clock.nowMs()
  const hosts = [...cell.scheduler.hosts.values()]
  const kind = `${spec.gang ? 'gang' : 'step'} of ${spec.count} tasks of ${spec.cpuMillicores} millicores, ${job.queue.name}, ${job.workspace}`
  const wait = cell.scheduler.waitingSteps().find((row) => row.job === job.spec.jobId && row.step === number)
  return [
    `${job.spec.jobId}.${number} (${kind}), received at ${Math.round(job.receivedAtMs)}, had nothing running for ${idleMs} ms at ${nowMs}`,
    `waits for: ${JSON.stringify(wait)}`,
    `what that waits for: ${JSON.stringify(cell.scheduler.waitingSteps().filter((row) => wait?.reservedFor?.includes(row.job)))}`,
    `advice: ${describeAdvice(step, hosts.map(({ hostId }) => hostId), nowMs)}; truly allowed on ${burst.allowedHosts(step).length} hosts`,
    `runs: ${job.steps.map((each) => `${each.number}: ${each.doneCount} of ${each.spec.count} done, ${describeRuns([each])}`).join('; ')}`,
    `workspace: ${JSON.stringify(cell.scheduler.workspaces().find(({ workspace }) => workspace === job.workspace))}`,
    `hosts: ${hosts.length}, in use by the owner's account ${sharePercent(hosts)}%, truly ${Math.round(burst.usedShare() * 100)}%`,
    `advice load: ${JSON.stringify(cell.scheduler.adviceLoad)}`,
    `open jobs: ${cell.scheduler.openJobs.size}, all faults over at ${Math.round(calmAtMs)}: ${faults.join(', ')}`
  ].join('\n')
}

function describeAdvice ({ advice }: Step, hostIds: readonly string[], nowMs: number): string {
  if (advice === undefined) return 'not requested'
  const asked = hostIds.filter((hostId) => advice.wasAsked(hostId)).length
  const allowed = [...advice.allowedHostIds()].length
  return `asked ${asked}, allowed ${allowed}, calls ${String(advice.hasCalls)}, retry in ${Math.round(advice.retryAtMs - nowMs)} ms`
}

function describeRuns (steps: readonly Step[]): string {
  const counts = new Map<string, number>()
  for (const { attempt } of steps.flatMap(({ tasks }) => tasks)) {
    if (attempt !== undefined) counts.set(attempt.phase, (counts.get(attempt.phase) ?? 0) + 1)
  }
  return [...counts].map(([phase, count]) => `${count} ${phase}`).join(', ') || 'no runs'
}

function sharePercent (hosts: readonly { readonly usedCpu: number, readonly entry: { readonly cpuMillicores: number } }[]): number {
  const total = hosts.reduce((sum, { entry }) => sum + entry.cpuMillicores, 0)
  return Math.round(100 * hosts.reduce((sum, { usedCpu }) => sum + usedCpu, 0) / total)
}
