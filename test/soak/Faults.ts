/**
 * Faults from outside, drawn from a seed: on the processes by signals, on the network by the forwarders, on the platform
 * by its switches. They come in series and overlap.
 */

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { SeededRandom } from '../../src/common/Random.js'
import type { ControllerCell, IController } from '../support/ControllerCell.js'
import type { Judge } from './Judge.js'

/** Does it, and gives what undoes it. */
type Fault = () => Promise<() => void | Promise<void>>

const NOTHING_TO_UNDO = (): void => {}

export class Faults {
  /** What was done, in order, for the report. */
  public readonly log: string[] = []
  private readonly _undoing = new Set<Promise<void>>()
  private readonly _faults: ReadonlyMap<string, Fault>
  private readonly _busy = new Set<IController>()

  public constructor (
    private readonly _cell: ControllerCell,
    private readonly _platform: PlatformStandIn,
    private readonly _judge: Judge,
    private readonly _random: SeededRandom
  ) {
    this._faults = new Map<string, Fault>([
      ['kill', async () => await this._onController(async (controller) => {
        await controller.process.kill()
        return async () => { await this._restart(controller) }
      })],
      ['killAll', async () => await this._killAll()],
      ['stop', async () => await this._onController(async (controller) => {
        const ended = controller.process.stop()
        return async () => {
          await ended
          await this._restart(controller)
        }
      })],
      ['pause', async () => await this._onController(async (controller) => {
        const { process } = controller
        process.pause()
        return () => { process.resume() }
      })],
      ['storeCut', async () => await this._onController(async ({ store }) => {
        store.cut(...this._directions())
        return () => { store.heal() }
      })],
      ['storeReset', async () => await this._onController(async ({ store }) => {
        store.dropAll()
        return NOTHING_TO_UNDO
      })],
      ['storeOut', async () => this._switch({ outage: this._pick(['busy', 'reset', 'silent'] as const), leasesLapse: this._random.next() < 0.5 }, { outage: 'none' })],
      ['storeSlow', async () => this._switch({ slowMs: 250 }, { slowMs: 0 })],
      ['storeLoses', async () => this._switch({ loseAnswers: 0.3 }, { loseAnswers: 0 })],
      ['storeLate', async () => this._switch({ loseAnswers: 0.3, lateMs: 1500 }, { loseAnswers: 0, lateMs: 0 })],
      ['storeForgets', async () => {
        this._platform.store.compact()
        return NOTHING_TO_UNDO
      }],
      ['hostCut', async () => this._hostCut()],
      ['hostRestart', async () => this._hostRestart()],
      ['hostLate', async () => this._hostLate()],
      ['config', async () => {
        this._platform.putConfig()
        return NOTHING_TO_UNDO
      }]
    ])
  }

  /** Injects one fault, which ends by itself after a while. */
  public inject (): void {
    const name = this._pick([...this._faults.keys()])
    const lastsMs = 300 + this._random.next() * 3500
    const fault = this._faults.get(name)
    if (fault === undefined) return
    this.log.push(`${name} for ${Math.round(lastsMs)} ms`)
    const undoing = fault().then(async (undo) => {
      await new Promise<void>((resolve) => { setTimeout(resolve, lastsMs) })
      await undo()
    }).catch((error: unknown) => { this._judge.violations.push(`soak: ${name}: ${String(error)}`) })
    this._undoing.add(undoing)
    undoing.finally(() => { this._undoing.delete(undoing) }).catch(() => {})
  }

  /** Resolves when all faults have ended. */
  public async ended (): Promise<void> {
    while (this._undoing.size > 0) await Promise.all(this._undoing)
  }

  /** One that no other fault has its hands on. */
  private async _onController (act: (controller: IController) => Promise<() => void | Promise<void>>): Promise<() => Promise<void>> {
    const free = this._cell.controllers.filter((controller) => !this._busy.has(controller))
    if (free.length === 0) return async () => {}
    const controller = this._pick(free)
    this._busy.add(controller)
    const undo = await act(controller)
    return async () => {
      await undo()
      this._busy.delete(controller)
    }
  }

  private async _killAll (): Promise<() => Promise<void>> {
    const killed = this._cell.controllers.filter((controller) => !this._busy.has(controller))
    for (const controller of killed) this._busy.add(controller)
    await Promise.all(killed.map(async ({ process }) => await process.kill()))
    return async () => {
      await Promise.all(killed.map(async (controller) => { await this._restart(controller) }))
      for (const controller of killed) this._busy.delete(controller)
    }
  }

  private async _restart (controller: IController): Promise<void> {
    this._cell.restart(controller)
    // It may have to wait for a store that is away: its own ready line is awaited at the end of the soak.
  }

  private _switch (on: Readonly<Record<string, unknown>>, off: Readonly<Record<string, unknown>>): () => void {
    this._platform.store.control(on)
    return () => { this._platform.store.control(off) }
  }

  private _hostCut (): () => void {
    const { hostId, forwarder } = this._pick(this._platform.hosts)
    this._judge.noteDisturbed(hostId)
    forwarder.cut(...this._directions())
    return () => {
      this._judge.noteDisturbed(hostId)
      forwarder.heal()
    }
  }

  private _hostRestart (): () => void {
    const host = this._pick(this._platform.hosts)
    this._judge.noteDisturbed(host.hostId)
    host.host.restart()
    this._platform.registerHost(host)
    return NOTHING_TO_UNDO
  }

  private _hostLate (): () => void {
    const { host } = this._pick(this._platform.hosts)
    host.lateShare = 0.3
    host.lateMs = 800 + this._random.next() * 4000
    return () => { host.lateShare = 0 }
  }

  private _directions (): readonly ('toTarget' | 'toClient')[] {
    return this._pick([['toTarget'], ['toClient'], ['toTarget', 'toClient']] as const)
  }

  private _pick<T> (of: readonly T[]): T {
    const picked = of[Math.floor(this._random.next() * of.length)]
    if (picked === undefined) throw new Error('nothing to pick from')
    return picked
  }
}
