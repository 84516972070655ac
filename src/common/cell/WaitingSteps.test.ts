/**
 * The reasons that are given for work that waits.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { ILogFields, ILogger } from '../observability/Types.js'

class WaitLog implements ILogger {
  public readonly lines: ILogFields[] = []

  public info (event: string, fields: ILogFields = {}): void {
    if (event === 'step.waiting') this.lines.push(fields)
  }

  public debug (): void {}
  public warn (): void {}
  public error (): void {}
}

function reasonsOf (cell: SimulatedCell): readonly string[] {
  return cell.scheduler.waitingSteps().map(({ job, reason }) => `${Number.parseInt(job, 16)} ${reason}`)
}

test('a job that waits for the room on the hosts is reported once in a while, with the gang that it waits behind', async (t) => {
  const logger = new WaitLog()
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 14_000 }, logger })
  cell.submit([{ cpuMillicores: 8000, estimateMs: 14_000 }])
  await cell.run(7000)
  const gang = cell.submit([{ count: 2, cpuMillicores: 8000, gang: true }], { targetMs: 60_000 })
  const narrow = cell.submit([{}], { priority: 2, targetMs: 60_000 })
  await cell.run(5500)
  t.deepEqual(reasonsOf(cell), ['2 room', '3 roomReserved'])
  t.deepEqual(logger.lines.map(({ requestId, reservedFor }) => [requestId, reservedFor]), [
    [gang.spec.jobId, undefined], [narrow.spec.jobId, [gang.spec.jobId]]
  ])
  t.is(cell.scheduler.gauges()['steps_waiting{kind="roomReserved"}'], 1)
  await cell.run(3000)
  t.is(logger.lines.length, 2)
})

test('a job that waits for the limit of its workspace is told apart from one that waits for a reservation within it', async (t) => {
  const cell = new SimulatedCell({ hosts: 4, host: { workMs: () => 20_000 } })
  cell.configure([{ name: 'blue', keyDigests: [], weight: 1, maximum: { cpuMillicores: 4000, memoryMb: 0, accelerators: 0 } }])
  cell.submit([{ count: 2, estimateMs: 20_000 }], {}, 'blue')
  await cell.run(200)
  cell.submit([{ count: 4, gang: true }], { targetMs: 60_000 }, 'blue')
  await cell.run(6000)
  cell.submit([{}], { targetMs: 90_000 }, 'blue')
  await cell.run(6000)
  t.deepEqual(reasonsOf(cell), ['2 limit', '3 limitReserved'])
})

test('a job without advice is told apart from one without room', async (t) => {
  const cell = new SimulatedCell({ hosts: 1, adviceMs: () => 20_000 })
  cell.submit([{}], { advice: { baseMs: 10, perHostMs: 0, validMs: 1500 } })
  await cell.run(6000)
  t.deepEqual(reasonsOf(cell), ['1 advice'])
})

test('a job whose runs are all prepared is shown as waiting for the store or for its tickets', async (t) => {
  let calls = 0
  const advice = { baseMs: 10, perHostMs: 0, validMs: 100 }
  const cell = new SimulatedCell({
    hosts: 1,
    saveMs: 500,
    adviceMs: () => {
      calls += 1
      return calls === 1 ? 10 : 20_000
    }
  })
  cell.submit([{ count: 2 }], { advice })
  await cell.run(6500)
  t.deepEqual(reasonsOf(cell), ['1 tickets'])
  cell.isStoreDown = true
  cell.submit([{ count: 2 }])
  await cell.run(6500)
  t.deepEqual(reasonsOf(cell), ['1 tickets', '2 record'])
})
