import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { RefusedError } from '../common/Errors.js'
import { errorFields } from '../common/observability/ErrorFields.js'
import { Logger } from './Logger.js'

function setUp () {
  const clock = new ManualClock()
  const lines: string[] = []
  const logger = new Logger(clock, { processId: 'gateway-1', level: 'info', maxLinesPerSecond: 2, write: line => lines.push(line) })
  return { clock, logger, parsed: () => lines.map(line => JSON.parse(line) as Record<string, unknown>) }
}

test('writes one JSON line with level, time, process, event and the step of an error', t => {
  const { logger, parsed } = setUp()
  logger.debug('not.written')
  logger.warn('store.unreachable', { durationMs: 12, ...errorFields(new RefusedError('store.get', '127.0.0.1:1', 'no')) })
  t.deepEqual(parsed(), [{
    time: '2023-11-14T22:13:20.000Z',
    level: 'warn',
    event: 'store.unreachable',
    process: 'gateway-1',
    durationMs: 12,
    step: 'store.get',
    peer: '127.0.0.1:1',
    errorName: 'RefusedError',
    errorMessage: 'store.get 127.0.0.1:1: no'
  }])
})

test('masks secrets', t => {
  const { logger, parsed } = setUp()
  logger.info('a', { token: 'abc', sharedKey: 'def' })
  t.false(JSON.stringify(parsed()).match(/abc|def/) !== null)
})

// Every request fails the same way for a while, and each failure is logged. The lines of this event are limited each second
// and the suppressed ones are counted; other events are not affected.
test('limits the lines of one event and reports how many were suppressed', t => {
  const { clock, logger, parsed } = setUp()
  for (let i = 0; i < 100; i++) logger.warn('request.failed')
  logger.warn('other')
  clock.advance(1000)
  logger.warn('request.failed')
  t.is(parsed().length, 4)
  t.is(parsed()[3]?.['suppressed'], 98)
})
