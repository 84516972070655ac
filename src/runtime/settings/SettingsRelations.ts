/**
 * What several settings must fulfil together. Works on the text, so that these mistakes are reported along with the
 * others and not only after those are mended.
 */

import { SETTINGS_DEFAULTS } from './SettingsDefaults.js'

import type { IniSection } from './IniText.js'
import type { ISettingsProblem } from './SettingsError.js'

type Sections = ReadonlyMap<string, IniSection>

/** A link is lost only after several heartbeats stayed out, not for a single late one. */
const MIN_HEARTBEATS_IN_SILENCE = 3
/** A renewal and its retry must fit into the life of the store lease. */
const MIN_CALLS_IN_LEASE = 3
const FREE_PORT = ':0'

export function checkRelations (sections: Sections): readonly ISettingsProblem[] {
  const checks = [checkRole, checkRegion, checkAddresses, checkId, checkSilence, checkLease, checkMessageSize]
  return checks.flatMap(check => check(sections) ?? [])
}

function text (sections: Sections, section: string, key: string): string | undefined {
  return sections.get(section)?.[key]
}

function checkRole (sections: Sections): ISettingsProblem | undefined {
  const role = text(sections, 'process', 'role')
  if (role === 'gateway' && !sections.has('caller')) {
    return { section: 'caller', key: '', value: '', allowed: 'is missing; a gateway needs it' }
  }
  if (role === 'scheduler' && sections.has('caller')) {
    return { section: 'caller', key: '', value: '', allowed: 'belongs to gateways only; remove it' }
  }
}

function checkRegion (sections: Sections): ISettingsProblem | undefined {
  const region = text(sections, 'process', 'region')
  const regions = text(sections, 'cell', 'regions')
  if (region === undefined || regions === undefined) return
  if (regions.split(',').some(name => name.trim() === region)) return
  return { section: 'process', key: 'region', value: region, allowed: `must be one of [cell] regions: ${regions}` }
}

function checkAddresses (sections: Sections): ISettingsProblem | undefined {
  const seen = new Set<string>()
  for (const section of ['caller', 'operator', 'peer']) {
    const listen = text(sections, section, 'listen')
    if (listen === undefined || listen.endsWith(FREE_PORT)) continue
    if (seen.has(listen)) return { section, key: 'listen', value: listen, allowed: 'is taken by another section; each needs its own port' }
    seen.add(listen)
  }
}

function checkId (sections: Sections): ISettingsProblem | undefined {
  const hasFreePort = text(sections, 'peer', 'listen')?.endsWith(FREE_PORT) === true
  if (!hasFreePort || text(sections, 'process', 'id') !== undefined) return
  return { section: 'process', key: 'id', value: '', allowed: 'is missing; it can not be derived from a peer address with port 0' }
}

function checkSilence (sections: Sections): ISettingsProblem | undefined {
  const defaults = SETTINGS_DEFAULTS.peer
  const silenceMs = Number(text(sections, 'peer', 'silenceMs') ?? defaults.silenceMs)
  const heartbeatMs = Number(text(sections, 'peer', 'heartbeatMs') ?? defaults.heartbeatMs)
  if (!(silenceMs < heartbeatMs * MIN_HEARTBEATS_IN_SILENCE)) return
  const allowed = `must be at least ${MIN_HEARTBEATS_IN_SILENCE} times heartbeatMs, which is ${heartbeatMs}`
  return { section: 'peer', key: 'silenceMs', value: String(silenceMs), allowed }
}

function checkLease (sections: Sections): ISettingsProblem | undefined {
  const defaults = SETTINGS_DEFAULTS.store
  const leaseTtlMs = Number(text(sections, 'store', 'leaseTtlMs') ?? defaults.leaseTtlMs)
  const callTimeoutMs = Number(text(sections, 'store', 'callTimeoutMs') ?? defaults.callTimeoutMs)
  if (!(leaseTtlMs < callTimeoutMs * MIN_CALLS_IN_LEASE)) return
  const allowed = `must be at least ${MIN_CALLS_IN_LEASE} times callTimeoutMs, which is ${callTimeoutMs}`
  return { section: 'store', key: 'leaseTtlMs', value: String(leaseTtlMs), allowed }
}

function checkMessageSize (sections: Sections): ISettingsProblem | undefined {
  const maxMessageBytes = Number(text(sections, 'peer', 'maxMessageBytes') ?? SETTINGS_DEFAULTS.peer.maxMessageBytes)
  const maxBodyBytes = Number(text(sections, 'caller', 'maxBodyBytes') ?? SETTINGS_DEFAULTS.caller.maxBodyBytes)
  if (!(maxMessageBytes <= maxBodyBytes)) return
  const allowed = `must be above [caller] maxBodyBytes, which is ${maxBodyBytes}, because a message carries a body and more`
  return { section: 'peer', key: 'maxMessageBytes', value: String(maxMessageBytes), allowed }
}
