/**
 * The standby and an owner that vanishes, over links with scripted answers.
 */

import test from 'ava'
import { err, ok, ResultAsync } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { AmbiguousError } from '../common/Errors.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { advance } from '../../test/support/advance.js'
import { StandbySelector, StandbyWatch } from './Standby.js'

import type { Result } from 'neverthrow'
import type { IPeerHub } from '../peer/Types.js'
import type { IOwnerRecord } from './Types.js'

const OWNER: IOwnerRecord = { processId: 'owner', incarnation: 1, peerUrl: 'ws://owner', revision: 7 }
const STANDBY = { processId: 'standby', peerUrl: 'ws://standby', revision: 7 }

type Listener = (cast: object) => void

/** The hub of one process, with scripted answers to pings and witness calls. Records which addresses were dialled. */
class ScriptedHub {
  public isOwnerThere = true
  /** How long the owner takes to answer a ping, in ms. */
  public ownerAnswerMs = 0
  public witnesses: readonly boolean[] = [false, false, false]
  public readonly dialled: string[] = []
  public readonly casts: string[] = []
  private readonly _listeners = new Map<string, Listener>()

  public constructor (public readonly self: { readonly processId: string }, private readonly _clock: ManualClock) {}

  public listen (name: string, listener: Listener): object {
    this._listeners.set(name, listener)
    return { dispose: () => {} }
  }

  public handle (): void {}

  public onLink (): object {
    return { dispose: () => {} }
  }

  public dial (peerUrl: string): object {
    this.dialled.push(peerUrl)
    return { dispose: () => { this.dialled.splice(this.dialled.indexOf(peerUrl), 1) } }
  }

  public links (): readonly object[] {
    return [this.link('owner'), ...this.witnesses.map((isReached, number) => ({
      peer: { processId: `peer-${number}`, incarnation: number },
      cast: (name: string) => { this.casts.push(`${name} to peer-${number}`) },
      call: (name: string, ask: { readonly waitMs: number }) => new ResultAsync(new Promise<Result<object, AmbiguousError>>((resolve) => {
        if (name === 'cellOffer') resolve(ok({ isWilling: true, yieldMs: number * 200, peerUrl: `ws://peer-${number}` }))
        else if (isReached) resolve(ok({ isReached }))
        else this._clock.after(ask.waitMs, () => { resolve(ok({ isReached })) })
      }))
    }))]
  }

  public link (processId: string): object {
    return {
      peer: { processId, incarnation: 1 },
      cast: (name: string) => { this.casts.push(`${name} to ${processId}`) },
      call: (name: string, _ask: object, timeoutMs: number) => new ResultAsync(new Promise<Result<object, AmbiguousError>>((resolve) => {
        if (name === 'cellOffer') resolve(ok({ isWilling: false, yieldMs: 0, peerUrl: '' }))
        else if (this.isOwnerThere && this.ownerAnswerMs <= timeoutMs) this._answer(resolve)
        else this._clock.after(timeoutMs, () => { resolve(err(new AmbiguousError(name, processId, 'no answer'))) })
      }))
    }
  }

  private _answer (resolve: (reply: Result<object, AmbiguousError>) => void): void {
    if (this.ownerAnswerMs === 0) resolve(ok({}))
    else this._clock.after(this.ownerAnswerMs, () => { resolve(ok({})) })
  }

  public deliver (name: string, cast: object): void {
    this._listeners.get(name)?.(cast)
  }
}

function setUp (processId: string) {
  const clock = new ManualClock()
  const hub = new ScriptedHub({ processId }, clock)
  const taken: number[] = []
  const ownership = { record: OWNER, isOwner: false, takeOver: ({ revision }: IOwnerRecord) => { taken.push(revision) } }
  const watch = new StandbyWatch(hub as unknown as IPeerHub, ownership, clock, new SilentLogger())
  return { clock, hub, taken, watch }
}

test('the cell is taken from an owner that has fallen silent, before its lease ends', async (t) => {
  // The owner's machine loses power. Its lease goes on for a second, and all callers wait.
  const { clock, hub, taken } = setUp('standby')
  hub.deliver('cellStandby', STANDBY)
  await advance(clock, 1000, 10)
  t.deepEqual(taken, [])
  hub.isOwnerThere = false
  await advance(clock, 600, 10)
  t.is(taken[0], OWNER.revision)
})

test('an owner that answers late because it is busy keeps the cell', async (t) => {
  // Each takeover would make the next owner just as busy, and the cell would change owners every few seconds without any progress.
  const { clock, hub, taken } = setUp('standby')
  hub.ownerAnswerMs = 600
  hub.deliver('cellStandby', STANDBY)
  await advance(clock, 10_000, 10)
  t.deepEqual(taken, [])
})

test('an owner that has just become busy keeps the cell if its answer arrives while the other processes are asked', async (t) => {
  const { clock, hub, taken } = setUp('standby')
  hub.deliver('cellStandby', STANDBY)
  await advance(clock, 2000, 10)
  hub.ownerAnswerMs = 450
  await advance(clock, 10_000, 10)
  t.deepEqual(taken, [])
})

test('an owner that only the standby can\'t reach keeps the cell', async (t) => {
  // Only the link between the two is cut. After a takeover, the owner would be the process that fewer processes reach.
  const { clock, hub, taken } = setUp('standby')
  hub.witnesses = [true, true, false]
  hub.deliver('cellStandby', STANDBY)
  hub.isOwnerThere = false
  await advance(clock, 3000, 10)
  t.deepEqual(taken, [])
})

test('a standby that no process answers does not take the cell over', async (t) => {
  // If only two processes are left, neither can tell which of them is cut off, and the lease decides.
  const { clock, hub, taken } = setUp('standby')
  hub.witnesses = []
  hub.deliver('cellStandby', STANDBY)
  hub.isOwnerThere = false
  await advance(clock, 3000, 10)
  t.deepEqual(taken, [])
})

test('all other processes keep a link to the standby, and to no earlier one', (t) => {
  const { hub } = setUp('gateway')
  hub.deliver('cellStandby', { ...STANDBY, peerUrl: 'ws://first', processId: 'first' })
  hub.deliver('cellStandby', STANDBY)
  t.deepEqual(hub.dialled, ['ws://standby'])
  hub.deliver('cellStandby', { ...STANDBY, peerUrl: 'ws://old', processId: 'old', revision: 5 })
  t.deepEqual(hub.dialled, ['ws://standby'])
})

test('the owner names the process nearest the store as the standby, and announces it to all peers', async (t) => {
  const clock = new ManualClock()
  const hub = new ScriptedHub({ processId: 'owner' }, clock)
  const choice = new StandbySelector(hub as unknown as IPeerHub, OWNER, 1, clock, new SilentLogger())
  await advance(clock, 1100, 10)
  t.deepEqual(hub.casts.filter((cast) => cast.startsWith('cellStandby')).length, 4)
  choice.dispose()
})
