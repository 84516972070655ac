/**
 * Handlers for calls of peers to this process: as the owner of the cell, and as a machine that asks for advice.
 */

import type { IAdviceService, OwnerAnswer } from '../common/cell/Types.js'
import { UnreachableError } from '../common/Errors.js'
import type { ICellSubmitReply } from '../common/protocol/Types.js'
import type { IPeerHandlers } from '../peer/Types.js'
import type { ILocalOwner } from './OwnerRoute.js'

/** Registers the handlers; `owner` returns the owner while it is this process. */
export function registerOwnerHandlers (hub: IPeerHandlers, owner: () => ILocalOwner | undefined, adviser: IAdviceService): void {
  hub.handle('cellSubmit', async (ask) => {
    return toSubmitReply(await (await awaitReadyOwner(owner, 'cellSubmit')).submit(ask))
  })
  hub.handle('cellState', async ({ jobId, ...access }) => {
    const outcome = await (await awaitReadyOwner(owner, 'cellState')).state(jobId, access)
    return outcome.kind === 'known' ? { kind: outcome.kind, phase: outcome.phase } : { kind: outcome.kind }
  })
  hub.handle('cellCancel', async ({ jobId, ...access }) => {
    return { result: await (await awaitReadyOwner(owner, 'cellCancel')).cancel(jobId, access) }
  })
  hub.handle('cellWaiting', async (access) => await (await awaitReadyOwner(owner, 'cellWaiting')).waiting(access))
  hub.handle('cellConfig', async ({ version }) => {
    const record = await (await awaitReadyOwner(owner, 'cellConfig')).readConfigAfter(version)
    return record === undefined ? {} : { record }
  })
  hub.handle('cellAdvise', async ({ timeoutMs, ...ask }) => {
    const outcome = await adviser.ask(ask, timeoutMs)
    return outcome.kind === 'advised' ? { kind: outcome.kind, allowed: outcome.allowed } : { kind: outcome.kind }
  })
}

async function awaitReadyOwner (owner: () => ILocalOwner | undefined, step: string): Promise<ILocalOwner> {
  const local = owner()
  if (local === undefined) throw new UnreachableError(step, 'owner', 'this process is not the owner')
  await local.ready
  return local
}

function toSubmitReply (outcome: OwnerAnswer): ICellSubmitReply {
  switch (outcome.kind) {
    case 'refused': return outcome
    case 'invalid': case 'inDoubt': case 'notOwner': return { kind: outcome.kind, reason: outcome.reason }
    default: return { kind: outcome.kind }
  }
}
