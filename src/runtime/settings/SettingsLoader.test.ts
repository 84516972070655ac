import { readFileSync, readdirSync } from 'node:fs'
import test from 'ava'
import fc from 'fast-check'
import { SettingsError } from './SettingsError.js'
import { SettingsLoader } from './SettingsLoader.js'

const SEED = 20_261_202
const EXAMPLES = ['pawprint', 'fraser']
const GATEWAY = readFileSync('examples/pawprint/lakes-west-gateway.ini', 'utf8')

function problemsOf (text: string): readonly string[] {
  const result = new SettingsLoader().load(text)
  return result.match(() => [], error => error.problems.map(problem => `${problem.section}.${problem.key}`))
}

test('the examples of both deployments are valid and cover each region with both roles', t => {
  for (const deployment of EXAMPLES) {
    const files = readdirSync(`examples/${deployment}`)
    const loaded = files.map(file => new SettingsLoader().load(readFileSync(`examples/${deployment}/${file}`, 'utf8'))._unsafeUnwrap())
    for (const region of loaded[0]?.cell.regions ?? []) {
      const roles = loaded.filter(settings => settings.process.region === region).map(settings => settings.process.role)
      t.deepEqual(roles.sort(), ['gateway', 'scheduler'], region)
    }
    t.is(new Set(loaded.map(settings => settings.process.id)).size, files.length)
    t.is(new Set(loaded.map(settings => settings.ids.idShards)).size, 1)
  }
})

test('fills in defaults and derives the process id from the address', t => {
  const settings = new SettingsLoader().load(GATEWAY)._unsafeUnwrap()
  t.is(settings.process.id, 'gateway-10.20.1.11-7101')
  t.is(settings.peer.maxMessageBytes, 4 * 1024 * 1024)
  t.deepEqual(settings.caller?.listen, { ip: '10.20.1.11', port: 8080 })
})

test('reports all mistakes at once, with the allowed values and without secrets', t => {
  const text = GATEWAY
    .replace('role = gateway', 'role = gatway')
    .replace('pollMs = 1000', 'pollMs = soon\npolMs = 5')
    .replace('token = replace-this-operator-token', 'token = short#secret')
    .replace('sharedKey = replace-this-shared-key', 'sharedKey = "tiny secret"')
    .replace('leaseTtlMs = 3000', 'leaseTtlMs = 2500')
    .replace('region = lakes-west', 'region = lakes-south')
    .replace('[log]', 'this line is broken\n[typo]\nlevel = info\n[log]')
  const error = new SettingsLoader().load(text)._unsafeUnwrapErr()
  const places = error.problems.map(problem => `${problem.section}.${problem.key}`)
  for (const place of ['process.role', 'process.region', 'hostList.pollMs', 'hostList.polMs', 'operator.token',
    'peer.sharedKey', 'store.leaseTtlMs', 'typo.', 'ids.']) t.true(places.includes(place), place)
  t.true(error.message.includes('[hostList] pollMs is "soon": must be a whole number of milliseconds from 50 to 60000'))
  t.false(error.message.includes('secret"'))
})

test('reports what the INI library would silently drop: repeated keys, truncated values, keys outside sections', t => {
  t.deepEqual(problemsOf(`stray = 1\n${GATEWAY}`), ['.stray'])
  t.deepEqual(problemsOf(`${GATEWAY}\nlevel = debug`), ['log.level'])
  t.deepEqual(problemsOf(`${GATEWAY}\n[log]`), ['log.'])
  t.deepEqual(problemsOf(GATEWAY.replace('level = info', 'level = info ; a comment')), [])
  t.deepEqual(problemsOf(GATEWAY.replace('level = info', 'level = "info" ; a comment')), ['log.level'])
})

test('reports settings that do not fit the role, another setting or the required form', t => {
  t.deepEqual(problemsOf(GATEWAY.replace('role = gateway', 'role = scheduler')), ['caller.'])
  t.deepEqual(problemsOf(GATEWAY.replace(/\[caller\][^[]*/, '')), ['caller.'])
  t.deepEqual(problemsOf(GATEWAY.replace('10.20.1.11:7101', '10.20.1.11:0')), ['process.id'])
  t.deepEqual(problemsOf(GATEWAY.replace('10.20.1.11:7101', '10.20.1.11:8080')), ['peer.listen'])
  t.deepEqual(problemsOf(GATEWAY.replace('http://10.20.0.10:2379', 'http://store.example:2379')), ['store.url'])
})

test('any text results in settings or an error that lists the mistakes, and never throws', t => {
  const words = fc.constantFrom('[process]', '[peer]', '[__proto__]', 'role', '=', 'gateway', '"', "'", '\\', ';', '#', '[', ']', '\n',
    '__proto__ = 1', 'constructor = x', 'listen = 1.2.3.4:99999', 'a[] = 1', 'null', '\u0000', '\r')
  const texts = fc.oneof(fc.string({ maxLength: 300 }), fc.array(words, { maxLength: 60 }).map(parts => parts.join(' ')))
  fc.assert(fc.property(texts, fc.nat(), (text, at) => {
    const place = at % GATEWAY.length
    for (const input of [text, GATEWAY.slice(0, place) + text + GATEWAY.slice(place)]) {
      new SettingsLoader().load(input).mapErr(error => {
        t.true(error instanceof SettingsError)
        t.true(error.problems.length > 0 && error.problems.every(problem => problem.allowed !== ''))
      })
    }
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('a seed with a second @ is malformed instead of being cut off there', t => {
  const malformed = GATEWAY.replace(/^seeds = .*$/m, 'seeds = scheduler-1@10.0.0.7:7101@10.0.0.8:7101')
  t.not(malformed, GATEWAY)
  t.true(problemsOf(malformed).some(place => place.endsWith('.seeds')), problemsOf(malformed).join(' '))
})
