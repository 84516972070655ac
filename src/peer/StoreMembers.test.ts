/**
 * Records of members in the store.
 */

import test from 'ava'

import { encodeMember, memberKey } from '../common/membership/MemberRecord.js'
import type { IMember } from '../common/protocol/Types.js'
import type { IStoreWatchListener } from '../platform/Types.js'
import { StoreMembers } from './StoreMembers.js'

const member: IMember = {
  processId: 's1',
  incarnation: 1,
  region: 'west',
  failureDomain: 'west-1',
  role: 'scheduler',
  peerUrl: 'ws://127.0.0.1:1',
  operatorUrl: 'http://127.0.0.1:2',
  state: 'alive'
}

test('records come through, and one that cannot be read stops none of the others', (t) => {
  const heard: unknown[] = []
  const listener: IStoreWatchListener = new StoreMembers({
    storeReachable: (reachable) => heard.push(reachable),
    storePresent: (present) => heard.push(present),
    storeAbsent: (processId) => heard.push(processId),
    storeAll: (members) => heard.push(members)
  })
  const record = { key: memberKey('s1'), value: encodeMember(member), modRevision: 1 }
  listener.onReachable(true)
  listener.onChanges([{ ...record, value: '{', deleted: false }, { ...record, deleted: false }, { ...record, value: '', deleted: true }])
  listener.onReset({ records: [{ ...record, value: '[]' }, record], revision: 2 })
  t.deepEqual(heard, [true, member, 's1', [member]])
})
