/**
 * Tests the command line against an operator listener in the same process.
 */

import { createServer } from 'node:http'
import test from 'ava'
import { OPERATOR_TOKEN, startOperator } from '../../test/support/OperatorFixture.js'
import { URGENT_PROFILE } from '../common/config/DefaultProfiles.js'
import { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import { answerBody, answerHeaders, answerStatus } from '../common/requests/AnswerHeaders.js'
import { okReply } from '../runtime/OperatorRoutes.js'
import { EXIT } from './ExitCodes.js'
import { Program } from './Program.js'
import { histogramLines, mergeBuckets, percentileMs } from './WaitHistogram.js'

import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import type { IFinalAnswer } from '../common/Types.js'
import type { OperatorHandlers } from '../runtime/OperatorRoutes.js'
import type { ExitCode } from './ExitCodes.js'

async function setUp (t: ExecutionContext, handlers: OperatorHandlers = {}) {
  const { url, store } = await startOperator(t, handlers)
  const files = new Map<string, string>()
  const run = async (...args: readonly string[]) => {
    const out: string[] = []
    const warnings: string[] = []
    const environment = { JACKDAWREEL_OPERATOR: url, JACKDAWREEL_TOKEN: OPERATOR_TOKEN, USER: 'ann' }
    const code = await new Program({
      print: line => out.push(line),
      warn: line => warnings.push(line),
      printBytes: bytes => out.push(Buffer.from(bytes).toString()),
      readInput: async path => Buffer.from(files.get(path) ?? '')
    }, environment).run(args)
    return { code, out: out.join('\n'), warnings }
  }
  return { url, store, files, run }
}

test('a profile is created, changed, compared, rolled back and deleted', async t => {
  const { files, run } = await setUp(t)
  files.set('urgent.json', JSON.stringify(URGENT_PROFILE))
  t.is((await run('profile', 'put', 'urgent', '--file', 'urgent.json')).code, EXIT.usage)
  t.is((await run('profile', 'put', 'urgent', '--file', 'urgent.json', '--revision', '0')).out, 'accepted: profile urgent is at revision 1')
  t.is((await run('profile', 'put', 'urgent', '--set', 'weight=3', 'spread=failureDomain')).code, EXIT.done)
  t.regex((await run('profile', 'diff', 'urgent', '1')).out, /weight +1 +3\n/)
  t.regex((await run('profile', 'history', 'urgent')).out, /2 .* ann +weight 1 -> 3, spread none -> failureDomain/)
  t.is((await run('profile', 'rollback', 'urgent', '1', '--revision', '2')).code, EXIT.done)
  const shown = JSON.parse((await run('profile', 'get', 'urgent', '--json')).out)
  t.like(shown, { revision: 3, writer: 'ann', value: { weight: 1 } })
  t.regex((await run('profile', 'get', 'urgent', '--everywhere')).out, /processId +region +revision\np +r +1/)
  t.is((await run('profile', 'delete', 'urgent', '--revision', '3')).code, EXIT.done)
  t.is((await run('profile', 'put', 'nightly', '--like', 'urgent', '--set', 'weight=7')).code, EXIT.usage)
  await run('profile', 'rollback', 'urgent', '2', '--revision', '4')
  t.is((await run('profile', 'put', 'nightly', '--like', 'urgent', '--set', 'weight=7')).out, 'accepted: profile nightly is at revision 1')
  t.is((await run('profile', 'put', 'nightly', '--like', 'urgent')).code, EXIT.conflict)
})

// Two operators edit the same revision. The second edit must be refused, and its operator must see both versions, or the first
// operator's change would be overwritten unnoticed.
test('a conflicting edit ends with its own exit code and shows both versions', async t => {
  const { files, run } = await setUp(t)
  files.set('new.json', JSON.stringify(URGENT_PROFILE))
  await run('profile', 'put', 'urgent', '--file', 'new.json', '--revision', '0')
  files.set('mine.json', (await run('profile', 'get', 'urgent', '--json')).out.replace('"weight":1', '"weight":5'))
  await run('profile', 'put', 'urgent', '--set', 'weight=9')
  const refused = await run('profile', 'put', 'urgent', '--file', 'mine.json')
  t.is(refused.code, EXIT.conflict)
  t.regex(refused.warnings[0] ?? '', /is at revision 2 by ann, you edited revision 1: nothing was changed/)
  t.regex(refused.warnings.join('\n'), /field +yours, on revision 1 +revision 2 by ann\nweight +5 +9/)
})

test('each failure has its exit code and one line that says what to do', async t => {
  const { files, run, store } = await setUp(t)
  files.set('bad.ini', '[process]\nrole = boss')
  files.set('bad.json', '{"name":"urgent"}')
  const cases: ReadonlyArray<readonly [readonly string[], ExitCode, RegExp]> = [
    [['profle'], EXIT.usage, /Unknown argument: profle; --help/],
    [['profile', 'delete', 'urgent', '--revision', 'x'], EXIT.usage, /a revision is a whole number/],
    [['profile', 'get', 'nope'], EXIT.notFound, /there is no profile nope/],
    [['profile', 'put', 'urgent', '--file', 'bad.json', '--revision', '0'], EXIT.usage, /weight is missing; it must be a number/],
    [['jobs'], EXIT.notFound, /this process has no jobs; ask another one/],
    [['hosts', '--operator', 'http://127.0.0.1:1'], EXIT.unreachable, /can't be reached \(ECONNREFUSED\)/],
    [['hosts', '--operator', 'nonsense'], EXIT.usage, /nonsense.* is not a URL/],
    [['submit', 'chip-lookup', '--gateway', 'http://127.0.0.1:1'], EXIT.unreachable, /can't be reached/],
    [['check-settings', 'bad.ini'], EXIT.usage, /bad.ini has \d+ mistakes; correct each/]
  ]
  for (const [args, code, advice] of cases) {
    const result = await run(...args)
    t.is(result.code, code, args.join(' '))
    t.regex(result.warnings[0] ?? '', advice)
  }
  store.isDown = true
  t.is((await run('profile', 'delete', 'urgent', '--revision', '1')).code, EXIT.refused)
})

test('the outcomes of several processes are added up, and a process that does not answer is named', async t => {
  const counters = new OutcomeCounters(10)
  for (const waitMs of [1, 1, 400]) counters.recordOutcome('chip-lookup', 'shelter', { outcome: 'done', waitMs }, waitMs > 100)
  let members: readonly object[] = []
  const { url, run } = await setUp(t, { outcomes: () => okReply({ rows: counters.rows() }), members: () => okReply({ members }) })
  members = [url, url, 'http://127.0.0.1:1'].map((operatorUrl, index) => ({ processId: `gateway-${index}`, operatorUrl }))
  const { code, out, warnings } = await run('outcomes', '--everywhere', '--histogram')
  t.is(code, EXIT.done)
  t.regex(out, /chip-lookup +shelter +4 +2 +0 +0 +0/)
  t.regex(out, /<= 500 ms #+ +2/)
  t.regex(warnings[0] ?? '', /gateway-2 is left out/)
})

test('a request ends with the exit code of its outcome', async t => {
  let answer: IFinalAnswer = { outcome: 'done', status: 200, body: Buffer.from('found') }
  const gateway = createServer((request, response) => {
    t.is(request.headers['x-jackdawreel-idempotent'], 'true')
    response.writeHead(answerStatus(answer), answerHeaders(answer)).end(answerBody(answer))
  })
  await new Promise<void>(resolve => { gateway.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => gateway.close().closeAllConnections())
  const { run } = await setUp(t)
  const submit = async () => await run('submit', 'chip-lookup', '--idempotent', '--gateway', `http://127.0.0.1:${(gateway.address() as AddressInfo).port}`)
  t.like(await submit(), { code: EXIT.done, out: 'found' })
  answer = { outcome: 'refused', reason: 'overloaded', detail: 'too much is waiting', retryAfterMs: 900 }
  const refused = await submit()
  t.is(refused.code, EXIT.refused)
  t.is(refused.warnings[0], 'jackdawreel: refused: too much is waiting; retry after 900 ms')
  answer = { outcome: 'unknown', reason: 'upstreamCut', upstream: 'runner-7' }
  const unknown = await submit()
  t.is(unknown.code, EXIT.unknown)
  t.regex(unknown.warnings[0] ?? '', /upstreamCut at runner-7/)
})

test('the help and the version are printed', async t => {
  const { run } = await setUp(t)
  t.regex((await run('profile', 'put', '--help')).out, /--revision/)
  t.regex((await run('--version')).out, /^\d+\.\d+\.\d+$/)
})

test('the percentiles of merged buckets are those of all their counts', t => {
  const merged = mergeBuckets([[{ upToMs: 1, count: 3 }], [{ upToMs: 1, count: 1 }, { upToMs: 8, count: 4 }]])
  t.deepEqual(merged, [{ upToMs: 1, count: 4 }, { upToMs: 8, count: 4 }])
  t.deepEqual([percentileMs(merged, 0.5), percentileMs(merged, 0.51), percentileMs([], 0.5)], [1, 8, undefined])
  t.is(histogramLines(merged).length, 4)
})
