/**
 * The defaults of all settings, in the units that the key names state.
 */

const KIB = 1024
const MIB = 1024 * KIB
const SECOND_MS = 1000
const HOUR_MS = 3600 * SECOND_MS

/** The space for the envelope of a message in addition to a body of 1 MiB. */
const ENVELOPE_BYTES = 64 * KIB

export const SETTINGS_DEFAULTS = {
  caller: {
    maxBodyBytes: MIB + ENVELOPE_BYTES,
    requestTimeoutMs: 30 * SECOND_MS
  },
  peer: {
    heartbeatMs: SECOND_MS,
    silenceMs: 3 * SECOND_MS,
    maxMessageBytes: 4 * MIB
  },
  store: {
    callTimeoutMs: SECOND_MS,
    leaseTtlMs: 3 * SECOND_MS
  },
  hostList: {
    pollMs: SECOND_MS
  },
  limits: {
    maxInFlight: 10_000,
    maxInFlightBytes: 24 * MIB,
    maxConnections: 10_000,
    maxHeaderBytes: 16 * KIB,
    maxHeaderCount: 64,
    headersTimeoutMs: 10 * SECOND_MS,
    drainMs: 30 * SECOND_MS,
    drainNoticeMs: 3 * SECOND_MS,
    maxDumpBytes: MIB
  },
  ids: {
    idShards: 8,
    claimRetentionMs: HOUR_MS,
    storeWritesPerSecond: 100
  },
  log: {
    level: 'info',
    maxLinesPerSecond: 20
  }
} as const
