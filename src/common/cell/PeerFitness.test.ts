import test from 'ava'
import { PeerFitness } from './PeerFitness.js'

const A = { processId: 'a', incarnation: 1 }
const B = { processId: 'b', incarnation: 1 }

test('a cell is uneven if one machine is 1.5 times as fit as another, with the owner among them', (t) => {
  const peers = new PeerFitness()
  t.false(peers.isUneven(0.2))
  peers.record({ ...A, fitness: 0.2 })
  t.false(peers.isUneven(0.29))
  t.true(peers.isUneven(0.31))
  peers.record({ ...B, fitness: 1 })
  t.true(peers.isUneven(0.2))
  t.is(peers.highest, 1)
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
