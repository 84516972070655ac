/**
 * The list of all specifications.
 */

import { cellSpec } from './CellSpec.js'
import { claimsSpec } from './ClaimsSpec.js'
import { gangSpec } from './GangSpec.js'
import { jobSpec } from './JobSpec.js'
import { leaseSpec } from './LeaseSpec.js'
import { membershipSpec } from './MembershipSpec.js'
import { ownershipSpec } from './OwnershipSpec.js'
import { profileSpec } from './ProfileSpec.js'

import type { ISpec } from './Model.js'

export const specs = [
  ownershipSpec, claimsSpec, leaseSpec, gangSpec, profileSpec, jobSpec, membershipSpec, cellSpec
] as unknown as readonly ISpec<unknown>[]
