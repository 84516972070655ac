/**
 * Checks conditions that several settings must meet together. The checks use the raw text, so that their mistakes are reported
 * together with all others, and not only after those have been corrected.
 */

import { SETTINGS_DEFAULTS } from './SettingsDefaults.js'

import type { IniSection } from './IniText.js'
import type { ISettingsProblem } from './SettingsError.js'

type Sections = ReadonlyMap<string, IniSection>

/** A link counts as lost only after several missing heartbeats, not after a single late one. */
const MIN_HEARTBEATS_IN_SILENCE = 3
/** The time to live of the store lease must be long enough for a renewal and its retry. */
const MIN_CALLS_IN_LEASE = 3
const FREE_PORT = ':0'

export function checkRelations (sections: Sections): readonly ISettingsProblem[] {
  const checks = [checkRole, checkRegion, checkAddresses, checkProcessId, checkSilence, checkLeaseTtl, checkMessageSize]
  return checks.flatMap(check => check(sections) ?? [])
}

function getValue (sections: Sections, section: string, key: string): string | undefined {
  return sections.get(section)?.[key]
}

function checkRole (sections: Sections): ISettingsProblem | undefined {
  const role = getValue(sections, 'process', 'role')
  if (role === 'gateway' && !sections.has('caller')) {
    return { section: 'caller', key: '', value: '', allowed: 'is missing; a gateway needs it' }
  }
  if (role === 'scheduler' && sections.has('caller')) {
    return { section: 'caller', key: '', value: '', allowed: 'is only for gateways; remove it' }
  }
}

function checkRegion (sections: Sections): ISettingsProblem | undefined {
  const region = getValue(sections, 'process', 'region')
  const regions = getValue(sections, 'cell', 'regions')
  if (region === undefined || regions === undefined) return
  if (regions.split(',').some(name => name.trim() === region)) return
  return { section: 'process', key: 'region', value: region, allowed: `must be one of [cell] regions: ${regions}` }
}

function checkAddresses (sections: Sections): ISettingsProblem | undefined {
  const seen = new Set<string>()
  for (const section of ['caller', 'operator', 'peer']) {
    const listen = getValue(sections, section, 'listen')
    if (listen === undefined || listen.endsWith(FREE_PORT)) continue
    if (seen.has(listen)) return { section, key: 'listen', value: listen, allowed: 'is used by another section; each section needs its own port' }
    seen.add(listen)
  }
}

function checkProcessId (sections: Sections): ISettingsProblem | undefined {
  const hasFreePort = getValue(sections, 'peer', 'listen')?.endsWith(FREE_PORT) === true
  if (!hasFreePort || getValue(sections, 'process', 'id') !== undefined) return
  return { section: 'process', key: 'id', value: '', allowed: 'is missing; the id can not be derived from a peer address with port 0' }
}

function checkSilence (sections: Sections): ISettingsProblem | undefined {
  const defaults = SETTINGS_DEFAULTS.peer
  const silenceMs = Number(getValue(sections, 'peer', 'silenceMs') ?? defaults.silenceMs)
  const heartbeatMs = Number(getValue(sections, 'peer', 'heartbeatMs') ?? defaults.heartbeatMs)
  if (!(silenceMs < heartbeatMs * MIN_HEARTBEATS_IN_SILENCE)) return
  const allowed = `must be at least ${MIN_HEARTBEATS_IN_SILENCE} times heartbeatMs, which is ${heartbeatMs}`
  return { section: 'peer', key: 'silenceMs', value: String(silenceMs), allowed }
}

function checkLeaseTtl (sections: Sections): ISettingsProblem | undefined {
  const defaults = SETTINGS_DEFAULTS.store
  const leaseTtlMs = Number(getValue(sections, 'store', 'leaseTtlMs') ?? defaults.leaseTtlMs)
  const callTimeoutMs = Number(getValue(sections, 'store', 'callTimeoutMs') ?? defaults.callTimeoutMs)
  if (!(leaseTtlMs < callTimeoutMs * MIN_CALLS_IN_LEASE)) return
  const allowed = `must be at least ${MIN_CALLS_IN_LEASE} times callTimeoutMs, which is ${callTimeoutMs}`
  return { section: 'store', key: 'leaseTtlMs', value: String(leaseTtlMs), allowed }
}

function checkMessageSize (sections: Sections): ISettingsProblem | undefined {
  const maxMessageBytes = Number(getValue(sections, 'peer', 'maxMessageBytes') ?? SETTINGS_DEFAULTS.peer.maxMessageBytes)
  const maxBodyBytes = Number(getValue(sections, 'caller', 'maxBodyBytes') ?? SETTINGS_DEFAULTS.caller.maxBodyBytes)
  if (!(maxMessageBytes <= maxBodyBytes)) return
  const allowed = `must be above [caller] maxBodyBytes, which is ${maxBodyBytes}, because a message contains a body and its envelope`
  return { section: 'peer', key: 'maxMessageBytes', value: String(maxMessageBytes), allowed }
}
