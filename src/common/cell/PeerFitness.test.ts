import test from 'ava'
import { PeerFitness } from './PeerFitness.js'

const A = { processId: 'a', incarnation: 1 }
const B = { processId: 'b', incarnation: 1 }

// The owner asks all peers every second while this holds, and needs to ask nobody once the fittest processes are the owner and the standby.
test('a process is much fitter if it is 1.5 times as fit as the owner or the standby', (t) => {
  const peers = new PeerFitness()
  t.false(peers.hasMuchFitter(0.2, 'a'))
  peers.record({ ...A, fitness: 0.2 })
  t.false(peers.hasMuchFitter(0.29, 'a'))
  peers.record({ ...B, fitness: 0.31 })
  t.true(peers.hasMuchFitter(0.29, 'a'))
  t.true(peers.hasMuchFitter(0.2, 'b'))
  t.false(peers.hasMuchFitter(0.29, 'b'))
  t.is(peers.highest, 0.31)
})

// A process that was restarted, has just started, or reported no fitness for a while would never be asked and so never be found to be fitter.
test('the reports are complete only if each linked process has reported its fitness in its present incarnation', (t) => {
  const peers = new PeerFitness()
  t.false(peers.isComplete([A]))
  peers.record({ ...A, fitness: 1 })
  peers.record(B)
  t.false(peers.isComplete([A, B]))
  peers.record({ ...B, fitness: 0.1 })
  t.true(peers.isComplete([A, B]))
  peers.retain([{ ...A, incarnation: 2 }, B])
  t.false(peers.isComplete([{ ...A, incarnation: 2 }, B]))
  t.is(peers.highest, 0.1)
})
