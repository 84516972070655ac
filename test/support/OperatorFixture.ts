/**
 * Starts an operator listener with an in-memory store, for the tests of the server and of the command line that calls it.
 */

import { request } from 'undici'
import { SystemClock } from '../../src/common/Clock.js'
import { ConfigReplica } from '../../src/common/config/ConfigReplica.js'
import { SilentLogger } from '../../src/common/observability/SilentLogger.js'
import { createBroker } from '../../src/runtime/Broker.js'
import { ConfigEditor } from '../../src/runtime/config/ConfigEditor.js'
import { ConfigRoutes } from '../../src/runtime/ConfigRoutes.js'
import { okReply } from '../../src/runtime/OperatorRoutes.js'
import { OperatorServer } from '../../src/runtime/OperatorServer.js'
import { SETTINGS_DEFAULTS } from '../../src/runtime/settings/SettingsDefaults.js'
import { ScriptedStore } from './ScriptedStore.js'

import type { ExecutionContext } from 'ava'
import type { OperatorHandlers } from '../../src/runtime/OperatorRoutes.js'
import type { ILimitSettings } from '../../src/runtime/settings/Types.js'

export const OPERATOR_TOKEN = 'a-token-of-the-test'
/** Closes the connections of slow clients early. A client that is starved of processor time counts as slow, too. */
export const SHORT_TIMEOUT_LIMITS: ILimitSettings = { ...SETTINGS_DEFAULTS.limits, headersTimeoutMs: 200 }

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

interface ICallOptions {
  readonly body?: string
  readonly ifMatch?: number
  readonly token?: string
}

/** Starts the listener; it is closed at the end of the test. */
export async function startOperator (t: ExecutionContext, moreHandlers: OperatorHandlers = {}, limits: ILimitSettings = SETTINGS_DEFAULTS.limits) {
  const store = new ScriptedStore()
  const editor = new ConfigEditor(store, new ConfigReplica(), new SystemClock(), {
    newNonce: () => Math.random().toString(), retryPauseMs: 1, maxAttempts: 2, maxHistory: 10
  })
  const routes = new ConfigRoutes(editor, new ConfigReplica(), async () => [{ processId: 'p', region: 'r', revision: 1 }])
  const broker = createBroker('gateway-1', new SilentLogger())
  const handlers: OperatorHandlers = {
    ...routes.handlers(),
    dump: ({ query }) => okReply({ query }),
    metrics: () => { throw new Error('broken') },
    ...moreHandlers
  }
  const settings = { listen: { ip: '127.0.0.1', port: 0 }, token: OPERATOR_TOKEN }
  const server = new OperatorServer(broker, settings, limits, handlers, new SilentLogger())
  await broker.start()
  const url = (await server.listen())._unsafeUnwrap()
  t.teardown(async () => {
    await server.close()
    await broker.stop()
  })
  return { store, url, call: async (method: Method, path: string, options?: ICallOptions) => await call(url + path, method, options) }
}

async function call (url: string, method: Method, { body, ifMatch, token = OPERATOR_TOKEN }: ICallOptions = {}) {
  const headers = {
    authorization: `Bearer ${token}`,
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(ifMatch === undefined ? {} : { 'if-match': `"${ifMatch}"` })
  }
  const answer = await request(url, { method, headers, ...(body === undefined ? {} : { body }) })
  return { status: answer.statusCode, json: await answer.body.json() as Record<string, any> }
}
