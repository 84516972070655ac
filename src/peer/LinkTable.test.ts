/**
 * Tests of which of two connections to the same process is kept.
 */

import test from 'ava'

import fc from 'fast-check'

import { identity } from '../../test/support/PeerHubs.js'
import type { IProcessIdentity } from '../common/Types.js'
import { LinkTable } from './LinkTable.js'

interface ITestConnection {
  readonly id: number
  readonly peer: IProcessIdentity
  readonly dialledBySelf: boolean
}

const SEED = 20261202

test('two processes that dial each other at the same time keep the same connection, in any order of events', (t) => {
  // The two connections may become ready in a different order on each side. If the sides chose different connections,
  // each would close the one that the other keeps, and they would have no link.
  const order = fc.shuffledSubarray([0, 1], { minLength: 2 })
  fc.assert(fc.property(order, order, fc.boolean(), (orderA, orderB, aIsSmaller) => {
    const [idA, idB] = aIsSmaller ? ['a', 'b'] : ['b', 'a']
    const tableA = new LinkTable<ITestConnection>(idA)
    const tableB = new LinkTable<ITestConnection>(idB)
    const admitConnection = (table: LinkTable<ITestConnection>, peer: string, id: number, dialledBySelf: boolean): void => {
      const connection = { id, peer: identity(peer), dialledBySelf }
      if (table.admit(connection.peer, dialledBySelf).kind === 'admitted') table.set(connection)
    }
    // Connection 0 was dialled by A, connection 1 by B.
    for (const id of orderA) admitConnection(tableA, idB, id, id === 0)
    for (const id of orderB) admitConnection(tableB, idA, id, id === 1)
    t.is(tableA.get(idB)?.id, tableB.get(idA)?.id)
  }), { seed: SEED })
})

test('a newer incarnation replaces an older one, and an older incarnation is refused', (t) => {
  const table = new LinkTable<ITestConnection>('a')
  table.set({ id: 1, peer: identity('b', 5), dialledBySelf: true })
  t.is(table.admit(identity('b', 4), true).kind, 'refused')
  t.like(table.admit(identity('b', 6), false), { kind: 'admitted', isImmediate: true })
  t.is(table.admit(identity('a', 9), false).kind, 'refused', 'another process with the same process id')
})
