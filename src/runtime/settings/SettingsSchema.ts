/**
 * The sections and keys of a settings file, with their bounds. A key or section that isn't listed here is an error.
 */

import * as z from 'zod'
import { LOG_LEVELS } from '../../common/observability/Types.js'
import { SETTINGS_DEFAULTS } from './SettingsDefaults.js'
import { httpUrl, listenAddress, nameList, oneOf, secret, seedList, simpleName, wholeNumber } from './SettingsFields.js'

const KIB = 1024
const MIB = 1024 * KIB
const HOUR_MS = 3_600_000
const DAY_MS = 24 * HOUR_MS

const { caller, peer, store, hostList, limits, ids, log } = SETTINGS_DEFAULTS

/** The settings of each section by key. A key with a default may be left out. */
export const SETTINGS_SECTIONS = {
  process: z.strictObject({
    id: simpleName().optional(),
    role: oneOf(['gateway', 'scheduler']),
    region: simpleName(),
    failureDomain: simpleName()
  }),
  cell: z.strictObject({
    regions: nameList()
  }),
  caller: z.strictObject({
    listen: listenAddress(),
    maxBodyBytes: wholeNumber(MIB, 64 * MIB, 'bytes').default(caller.maxBodyBytes),
    requestTimeoutMs: wholeNumber(100, HOUR_MS, 'milliseconds').default(caller.requestTimeoutMs)
  }),
  operator: z.strictObject({
    listen: listenAddress(),
    token: secret()
  }),
  peer: z.strictObject({
    listen: listenAddress(),
    sharedKey: secret(),
    heartbeatMs: wholeNumber(50, 60_000, 'milliseconds').default(peer.heartbeatMs),
    silenceMs: wholeNumber(100, 300_000, 'milliseconds').default(peer.silenceMs),
    maxMessageBytes: wholeNumber(MIB, 128 * MIB, 'bytes').default(peer.maxMessageBytes),
    advertise: listenAddress().optional(),
    seeds: seedList().default([])
  }),
  store: z.strictObject({
    url: httpUrl(),
    callTimeoutMs: wholeNumber(50, 60_000, 'milliseconds').default(store.callTimeoutMs),
    leaseTtlMs: wholeNumber(500, 600_000, 'milliseconds').default(store.leaseTtlMs)
  }),
  hostList: z.strictObject({
    url: httpUrl(),
    pollMs: wholeNumber(50, 60_000, 'milliseconds').default(hostList.pollMs)
  }),
  limits: z.strictObject({
    maxInFlight: wholeNumber(1, 1_000_000, 'requests').default(limits.maxInFlight),
    maxInFlightBytes: wholeNumber(4 * MIB, 4096 * MIB, 'bytes').default(limits.maxInFlightBytes),
    maxConnections: wholeNumber(1, 1_000_000, 'connections').default(limits.maxConnections),
    maxHeaderBytes: wholeNumber(KIB, 256 * KIB, 'bytes').default(limits.maxHeaderBytes),
    maxHeaderCount: wholeNumber(8, 1000, 'headers').default(limits.maxHeaderCount),
    headersTimeoutMs: wholeNumber(100, 300_000, 'milliseconds').default(limits.headersTimeoutMs),
    drainMs: wholeNumber(0, HOUR_MS, 'milliseconds').default(limits.drainMs),
    drainNoticeMs: wholeNumber(0, HOUR_MS, 'milliseconds').default(limits.drainNoticeMs),
    maxDumpBytes: wholeNumber(KIB, 64 * MIB, 'bytes').default(limits.maxDumpBytes)
  }),
  ids: z.strictObject({
    idShards: wholeNumber(1, 4096, 'shards').default(ids.idShards),
    claimRetentionMs: wholeNumber(1000, DAY_MS, 'milliseconds').default(ids.claimRetentionMs),
    storeWritesPerSecond: wholeNumber(1, 10_000, 'writes a second').default(ids.storeWritesPerSecond)
  }),
  log: z.strictObject({
    level: oneOf(LOG_LEVELS).default(log.level),
    maxLinesPerSecond: wholeNumber(1, 100_000, 'lines a second').default(log.maxLinesPerSecond)
  })
} as const

export type SectionName = keyof typeof SETTINGS_SECTIONS

/** Keys whose values are never shown. */
export const SECRET_KEYS: ReadonlySet<string> = new Set(['token', 'sharedKey'])
