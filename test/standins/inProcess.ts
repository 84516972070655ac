/**
 * Starts stand-ins in the process of the test, for the tests of a single client.
 */

import { HostListStandIn } from './HostListStandIn.js'
import { KeyValueStandIn } from './KeyValueStandIn.js'
import { RunnerStandIn } from './RunnerStandIn.js'
import { StandInServer } from './StandInServer.js'
import { WorkerStandIn } from './WorkerStandIn.js'

import type { ExecutionContext } from 'ava'
import type { HostKind, IHostRecord } from '../../src/runtime/Types.js'
import type { IStandIn } from './StandInServer.js'

export interface IStartedStandIn<T> { readonly standIn: T, readonly server: StandInServer, readonly url: string }

async function startStandIn<T extends IStandIn> (t: ExecutionContext, standIn: T): Promise<IStartedStandIn<T>> {
  const server = new StandInServer(standIn)
  const url = await server.listen(0)
  t.teardown(() => { server.close() })
  return { standIn, server, url }
}

export async function startStore (t: ExecutionContext): Promise<IStartedStandIn<KeyValueStandIn>> {
  const started = await startStandIn(t, new KeyValueStandIn())
  started.standIn.onOutage = (outage) => {
    if (outage === 'refuse') started.server.refuseConnections()
    else if (outage === 'reset') started.server.cutConnections()
    else started.server.listen().catch(() => {})
  }
  return started
}

export function startHostList (t: ExecutionContext, lagMs: number): Promise<IStartedStandIn<HostListStandIn>> {
  return startStandIn(t, new HostListStandIn(lagMs))
}

export function startRunner (t: ExecutionContext, slots = 8, maxConnections = 60): Promise<IStartedStandIn<RunnerStandIn>> {
  return startStandIn(t, new RunnerStandIn({ hostId: 'runner-0', slots, maxConnections, seed: 1, maxRecords: 10_000 }))
}

export function startWorker (t: ExecutionContext, clockOffsetMs = 0): Promise<IStartedStandIn<WorkerStandIn>> {
  const capacity = { cores: 8, memoryBytes: 2 ** 30, accelerators: 0 }
  return startStandIn(t, new WorkerStandIn({ hostId: 'worker-0', capacity, clockOffsetMs, clockRate: 1 }))
}

export function createHostRecord (url: string, kind: HostKind = 'runner', slots = 8): IHostRecord {
  return {
    hostId: `${kind}-0`,
    kind,
    url,
    rack: 'rack-0',
    region: 'lakes-west',
    failureDomain: 'lakes-west-a',
    state: 'live',
    slots,
    maxConnections: 60,
    capacity: { cores: 8, memoryBytes: 2 ** 30, accelerators: 0 }
  }
}
