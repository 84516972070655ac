/**
 * All specifications.
 */

import type { ISpec } from './Model.js'
import { claimsSpec } from './ClaimsSpec.js'
import { ownershipSpec } from './OwnershipSpec.js'

export const specs = [ownershipSpec, claimsSpec] as unknown as readonly ISpec<unknown>[]
