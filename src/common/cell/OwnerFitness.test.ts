import test from 'ava'
import { ownerFitness, storeProximity, unfitYieldMs } from './OwnerFitness.js'
import { ReliefDecision } from './ReliefDecision.js'
import { chooseSuccessor } from './Successor.js'

import type { IMachineCapacity } from './OwnerFitness.js'

const STRONG: IMachineCapacity = { processorCores: 1.35, linkMbps: 200, memoryMb: 602 }
const NARROW: IMachineCapacity = { processorCores: 0.81, linkMbps: 10, memoryMb: 490 }
const WEAK: IMachineCapacity = { processorCores: 0.243, linkMbps: 10, memoryMb: 210 }
/** How long a machine in another region than the store waits for those near it, in ms. */
const FAR_YIELD_MS = 180

function offer (processId: string, machine: IMachineCapacity, incarnation: number, distanceMs = 0) {
  return { processId, peerUrl: '', incarnation, isWilling: true, yieldMs: unfitYieldMs(ownerFitness(machine)) + distanceMs }
}

test('machines with all that an owner needs don\'t wait for others, and unlimited resources count as enough', t => {
  t.is(unfitYieldMs(ownerFitness(STRONG)), 0)
  t.is(unfitYieldMs(ownerFitness({ processorCores: 0.675, linkMbps: undefined, memoryMb: undefined })), 0)
})

test('a machine that lacks more is less fit', t => {
  t.true(ownerFitness(STRONG) > ownerFitness(NARROW))
  t.true(ownerFitness(NARROW) > ownerFitness(WEAK))
})

// With a processor that suffices, a machine with a narrow link acquired the cell, and its orders queued on the link.
test('a machine with a narrow link leaves the cell to one with a wide link in another region', t => {
  const offers = [offer('narrow', NARROW, 9), offer('weak', WEAK, 8), offer('strong', STRONG, 1, FAR_YIELD_MS)]
  t.is(chooseSuccessor(offers)?.processId, 'strong')
})

test('of narrow machines alone, the one with more processor takes the cell', t => {
  t.true(unfitYieldMs(ownerFitness(NARROW)) < unfitYieldMs(ownerFitness(WEAK)))
  t.is(chooseSuccessor([offer('narrow', NARROW, 1)])?.processId, 'narrow')
})

// Each job waits for two writes of the owner, so urgent jobs of an owner in another region than the store have a quarter less time to spare.
test('a fit owner far from the store hands the cell over to a fit process near it, and not the other way round', t => {
  const decide = (ownerStoreMs: number, peerStoreMs: number) => {
    const machineFitness = ownerFitness(STRONG) * storeProximity(ownerStoreMs)
    const inputs = {
      machineFitness, effectiveFitness: machineFitness, isOverloaded: false, ownedMs: 3000, isByRelief: false, isConfirmed: true, isStopping: false
    }
    const peer = { ...offer('peer', STRONG, 1), fitness: ownerFitness(STRONG) * storeProximity(peerStoreMs) }
    return new ReliefDecision().choose(0, inputs, [peer])?.processId
  }
  t.is(decide(45, 5), 'peer')
  t.is(decide(45, 45), undefined)
  t.is(decide(5, 45), undefined)
  t.is(decide(5, 5), undefined)
})
