/**
 * The list of all specifications.
 */

import { cellSpec } from './CellSpec.js'
import { claimsSpec } from './ClaimsSpec.js'
import { gangSpec } from './GangSpec.js'
import { jobSpec } from './JobSpec.js'
import { keySpec } from './KeySpec.js'
import { leaseSpec } from './LeaseSpec.js'
import { limitSpec } from './LimitSpec.js'
import { membershipSpec } from './MembershipSpec.js'
import { openStartSpec } from './OpenStartSpec.js'
import { ownershipSpec } from './OwnershipSpec.js'
import { profileSpec } from './ProfileSpec.js'
import { reliefSpec } from './ReliefSpec.js'

import type { ISpec } from './Model.js'

export const specs = [
  ownershipSpec, claimsSpec, leaseSpec, gangSpec, profileSpec, jobSpec, membershipSpec, cellSpec, keySpec, limitSpec, reliefSpec, openStartSpec
] as unknown as readonly ISpec<unknown>[]
