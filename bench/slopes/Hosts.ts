/**
 * Host records and a logger without output, for the benches.
 */

import type { ILogger } from '../../src/common/observability/Types.js'
import type { HostKind, IHostRecord } from '../../src/runtime/Types.js'

const HOSTS_PER_RACK = 8

export const SILENT_LOG: ILogger = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

export function hostAt (kind: HostKind, index: number, url: string): IHostRecord {
  return {
    hostId: `${kind}-lakes-west-${index}`,
    kind,
    url,
    rack: `lakes-west-rack-${Math.floor(index / HOSTS_PER_RACK)}`,
    region: 'lakes-west',
    failureDomain: 'lakes-west-a',
    state: 'live',
    slots: 8,
    maxConnections: 60,
    capacity: { cores: 64, memoryBytes: 128 * 2 ** 30, accelerators: 2 }
  }
}
