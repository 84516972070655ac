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
      return { steps: 7, isComplete: true }
    },
    recordDuration: (name, ms) => { durations.push([name, ms]) }
  }, clock, log)
  pacer.request()
  clock.advance(100)
  t.deepEqual(durations, [['wait_for_pass', 4], ['pass', 10], ['pass_span', 10]])
  t.deepEqual(log.lines, [])
  passMs = 150
  for (let pass = 0; pass < 10; pass += 1) {
    pacer.request()
    clock.advance(1000)
  }
  t.deepEqual(log.lines[0], { durationMs: 150, spanMs: 150, waitMs: 40, slices: 1, steps: 7, slowPasses: 1 })
  t.true(log.lines.length > 1 && log.lines.length < 4)
})

test('changes do not restart a pass that has not reached its last steps, and get a pass of their own after it', (t) => {
  const clock = new ManualClock()
  const calls: string[] = []
  let left = 0
  const pacer: PassPacer = new PassPacer({
    runPass: (maxMs) => {
      if (left === 0) {
        calls.push('begin')
        left = 3
      }
      clock.advance(maxMs)
      left -= 1
      if (calls.length === 1) pacer.request()
      if (left === 0) calls.push('end')
      return { steps: 1, isComplete: left === 0 }
    },
    recordDuration: () => {}
  }, clock, new SlowPassLog())
  pacer.request()
  clock.advance(10_000)
  t.deepEqual(calls, ['begin', 'end', 'begin', 'end'])
})

test('the time between two slices does not depend on the number of steps, and passes leave half of the time to other work', (t) => {
  const clock = new ManualClock()
  const slices: { readonly fromMs: number, readonly toMs: number }[] = []
  const pacer: PassPacer = new PassPacer({
    runPass: (maxMs) => {
      const fromMs = clock.nowMs()
      clock.advance(maxMs)
      slices.push({ fromMs, toMs: clock.nowMs() })
      pacer.request()
      return { steps: 1, isComplete: slices.length % 100 === 0 }
    },
    recordDuration: () => {}
  }, clock, new SlowPassLog())
  pacer.request()
  while (slices.length < 300) clock.advance(1)
  const pausesMs = slices.slice(1).map(({ fromMs }, index) => fromMs - (slices[index]?.toMs ?? 0))
  t.true(Math.max(...pausesMs) <= 100)
  const workMs = slices.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0)
  t.true(workMs <= clock.nowMs() * 0.51)
})

test('an owner that has been disposed makes no further passes, whatever answers arrive', (t) => {
  const clock = new ManualClock()
  let passes = 0
  const pacer: PassPacer = new PassPacer({
    runPass: () => {
      passes += 1
      return { steps: 1, isComplete: false }
    },
    recordDuration: () => {}
  }, clock, new SlowPassLog())
  pacer.request()
  clock.advance(5)
  pacer.dispose()
  pacer.request()
  clock.advance(1000)
  t.is(passes, 1)
})
