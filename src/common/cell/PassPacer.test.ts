/**
 * When scheduling passes are made, and what is reported of slow ones.
 */

import test from 'ava'
import { ManualClock } from '../Clock.js'
import { PassPacer } from './PassPacer.js'

import type { ILogFields, ILogger } from '../observability/Types.js'

class SlowPassLog implements ILogger {
  public readonly lines: ILogFields[] = []

  public warn (event: string, fields: ILogFields = {}): void {
    if (event === 'pass.slow') this.lines.push(fields)
  }

  public debug (): void {}
  public info (): void {}
  public error (): void {}
}

test('an owner that is short of processor time is told apart from one whose steps wait for advice or room', (t) => {
  const clock = new ManualClock()
  const log = new SlowPassLog()
  const durations: [string, number][] = []
  let passMs = 10
  const pacer = new PassPacer({
    runPass: () => {
      clock.advance(passMs)
      return 7
    },
    recordDuration: (name, ms) => { durations.push([name, ms]) }
  }, clock, log)
  pacer.request()
  clock.advance(100)
  t.deepEqual(durations, [['wait_for_pass', 4], ['pass', 10]])
  t.deepEqual(log.lines, [])
  passMs = 150
  for (let pass = 0; pass < 10; pass += 1) {
    pacer.request()
    clock.advance(1000)
  }
  t.deepEqual(log.lines[0], { durationMs: 150, waitMs: 40, steps: 7, slowPasses: 1 })
  t.true(log.lines.length > 1 && log.lines.length < 4)
})
