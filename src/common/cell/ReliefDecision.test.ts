/**
 * The bounds of a handover to a fitter process.
 */

import test from 'ava'
import { ReliefDecision } from './ReliefDecision.js'

import type { IReliefInputs } from './ReliefDecision.js'

const UNFIT: IReliefInputs = {
  machineFitness: 0.2, effectiveFitness: 0.2, isOverloaded: false, ownedMs: 2000, isByRelief: false, isConfirmed: true, isStopping: false
}
const OVERLOADED: IReliefInputs = { ...UNFIT, machineFitness: 1, effectiveFitness: 0.5, isOverloaded: true }

function offer (processId: string, fitness?: number, { isWilling = true, yieldMs = 20, incarnation = 1 } = {}) {
  return { processId, peerUrl: '', incarnation, isWilling, yieldMs, ...(fitness === undefined ? {} : { fitness }) }
}

function asks (inputs: IReliefInputs, peerFitness = 1): boolean {
  const decision = new ReliefDecision()
  const isChosen = decision.choose(0, inputs, [offer('peer', peerFitness)]) !== undefined
  return decision.shouldAsk(0, inputs, peerFitness) && isChosen
}

test('an unfit or overloaded owner hands over, but not early, unconfirmed or while it stops', (t) => {
  for (const inputs of [UNFIT, OVERLOADED]) {
    t.true(asks(inputs))
    t.false(asks({ ...inputs, ownedMs: 1999 }))
    t.false(asks({ ...inputs, isConfirmed: false }))
    t.false(asks({ ...inputs, isStopping: true }))
  }
})

test('a fit owner hands over only while it is overloaded', (t) => {
  t.false(asks({ ...OVERLOADED, isOverloaded: false }))
})

test('a peer has to be 1.5 times as fit', (t) => {
  t.true(asks(UNFIT, 0.301))
  t.false(asks(UNFIT, 0.299))
  t.true(asks(OVERLOADED, 0.75))
  t.false(asks(OVERLOADED, 0.74))
})

test('an overload moves the cell to no machine of the same kind if that kind is unfit', (t) => {
  const overloaded = { ...UNFIT, effectiveFitness: 0.1, isOverloaded: true }
  t.false(asks(overloaded, 0.21))
  t.true(asks(overloaded, 0.23))
})

test('an owner that got the cell by relief keeps it for 15 s while it is overloaded, but not if a much fitter machine appears', (t) => {
  const relieved = { ...OVERLOADED, isByRelief: true, ownedMs: 14_999 }
  t.false(asks(relieved))
  t.true(asks({ ...relieved, ownedMs: 15_000 }))
  const unfit = { ...relieved, machineFitness: 0.6, effectiveFitness: 0.3 }
  t.false(asks(unfit, 0.8))
  t.true(asks(unfit, 0.91))
})

test('after a failed attempt the owner waits for 5 s', (t) => {
  const decision = new ReliefDecision()
  decision.recordFailure(1000)
  t.false(decision.shouldAsk(5999, UNFIT, 1))
  t.true(decision.shouldAsk(6000, UNFIT, 1))
})

test('the cell goes to the fittest, of those to the one nearest the store, and to none that is unwilling or doesn\'t report its fitness', (t) => {
  const offers = [
    offer('earlier version'), offer('unwilling', 1, { isWilling: false }), offer('half', 0.5, { yieldMs: 0 }), offer('far', 1, { yieldMs: 200 }), offer('near', 1)
  ]
  t.is(new ReliefDecision().choose(0, UNFIT, offers)?.processId, 'near')
  t.is(new ReliefDecision().choose(0, UNFIT, offers.slice(0, 2)), undefined)
})
