/**
 * Tests the client of the host list against the stand-in.
 */

import test from 'ava'

import { UnreachableError } from '../common/Errors.js'
import { createHostRecord, startHostList } from '../../test/standins/inProcess.js'
import { eventually } from '../../test/support/Eventually.js'
import { HostListClient } from './HostListClient.js'

test('lists hosts after the lag of the list, and skips malformed records', async (t) => {
  const hostList = await startHostList(t, 50)
  const client = new HostListClient({ url: hostList.url, callTimeoutMs: 2000 })
  t.teardown(() => { client.dispose() })
  const host = createHostRecord('http://127.0.0.1:1')
  hostList.standIn.control({ put: [host, { hostId: 'broken' }] })
  const hosts = await eventually('the host is listed', async () => {
    const listed = (await client.list())._unsafeUnwrap()
    return listed.length > 0 && listed
  })
  t.deepEqual(hosts, [host])
  t.is(client.malformedRecords, 1)
  hostList.standIn.control({ state: { [host.hostId]: 'leaving' } })
  await eventually('the host is leaving', async () => (await client.list())._unsafeUnwrap()[0]?.state === 'leaving')
})

test('an unavailable host list is an error, not an empty list', async (t) => {
  // The host list fails for a while. If the client returned an empty list instead, every host would be taken out of use.
  const hostList = await startHostList(t, 0)
  const client = new HostListClient({ url: hostList.url, callTimeoutMs: 2000 })
  t.teardown(() => { client.dispose() })
  hostList.standIn.control({ down: true })
  t.true((await client.list())._unsafeUnwrapErr() instanceof UnreachableError)
  hostList.server.refuseConnections()
  t.true((await client.list())._unsafeUnwrapErr() instanceof UnreachableError)
})

test('a host whose record becomes malformed is still listed', async (t) => {
  // The platform writes a malformed record. If the host counted as gone, its tasks would be started on another host while
  // they still run on this one.
  const hostList = await startHostList(t, 0)
  const client = new HostListClient({ url: hostList.url, callTimeoutMs: 2000 })
  t.teardown(() => { client.dispose() })
  const host = createHostRecord('http://127.0.0.1:1')
  hostList.standIn.control({ put: [host] })
  t.deepEqual((await client.list())._unsafeUnwrap(), [host])
  hostList.standIn.control({ put: [{ hostId: host.hostId, kind: 'toaster' }] })
  t.deepEqual((await client.list())._unsafeUnwrap(), [host])
  t.is(client.malformedRecords, 1)
  hostList.standIn.control({ remove: [host.hostId] })
  t.deepEqual((await client.list())._unsafeUnwrap(), [])
})
