/**
 * Injects faults that are drawn from a seed: into the processes by signals, into the network by the TCP forwarders, and into the
 * platform by the switches of its stand-in. Several faults may be active at the same time.
 */

import { setTimeout as pause } from 'node:timers/promises'
import { OWNER_KEY } from '../../src/cell/Keys.js'
import { CUTS, HostFaults } from './HostFaults.js'
import { pickRandom } from './pickRandom.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { SeededRandom } from '../../src/common/Random.js'
import type { ControllerCell, IController } from '../support/ControllerCell.js'
import type { Fault } from './HostFaults.js'
import type { InvariantChecker } from './InvariantChecker.js'

/** The longest pause of an owner while a host returns, in ms. */
const MAX_OWNER_PAUSE_MS = 1500
/** A changed limit is this share of the first one. */
const LIMIT_SHARES = [0.9, 1, 1.5]
const NOTHING_TO_UNDO = (): void => {}

export class FaultInjector {
  /** The injected faults, in order, for the report. */
  public readonly log: string[] = []
  private readonly _activeFaults = new Set<Promise<void>>()
  private readonly _faults: ReadonlyMap<string, Fault>
  private readonly _hostFaults: HostFaults
  private readonly _affected = new Set<IController>()
  private readonly _firstLimits: ReadonlyMap<string, number>

  public constructor (
    private readonly _cell: ControllerCell,
    private readonly _platform: PlatformStandIn,
    private readonly _checker: InvariantChecker,
    private readonly _random: SeededRandom,
    /** The names of the faults to draw from; all if empty. */
    private readonly _names: readonly string[]
  ) {
    this._firstLimits = new Map(_platform.workspaces.map(({ name, maxCpu }) => [name, maxCpu]))
    this._hostFaults = new HostFaults(_platform, _checker, _random)
    this._faults = new Map<string, Fault>([
      ['kill', async () => await this._disturbController(async (controller) => {
        await controller.process.kill()
        return async () => { await this._restartController(controller) }
      })],
      ['killAll', async () => await this._killAll()],
      ['stop', async () => await this._disturbController(async (controller) => {
        const ended = controller.process.stop()
        return async () => {
          await ended
          await this._restartController(controller)
        }
      })],
      ['pause', async () => await this._disturbController(async (controller) => {
        const { process } = controller
        process.pause()
        return () => { process.resume() }
      })],
      ['ownerPowerLoss', async () => await this._disturbController(async (controller) => {
        // To the others, a process that stands still looks like one without power.
        controller.process.pause()
        return async () => {
          await controller.process.kill()
          await this._restartController(controller)
        }
      }, (controller) => this._isOwner(controller))],
      ['storeCut', async () => await this._disturbController(async ({ store }) => {
        store.cut(...pickRandom(this._random, CUTS))
        return () => { store.heal() }
      })],
      ['storeReset', async () => await this._disturbController(async ({ store }) => {
        store.dropAll()
        return NOTHING_TO_UNDO
      })],
      ['storeOut', async () => this._switchStore(
        { outage: pickRandom(this._random, ['busy', 'reset', 'silent'] as const), leasesLapse: this._random.next() < 0.5 }, { outage: 'none' })],
      ['storeSlow', async () => this._switchStore({ slowMs: 250 }, { slowMs: 0 })],
      ['storeLoses', async () => this._switchStore({ loseAnswers: 0.3 }, { loseAnswers: 0 })],
      ['storeLate', async () => this._switchStore({ loseAnswers: 0.3, lateMs: 1500 }, { loseAnswers: 0, lateMs: 0 })],
      ['storeForgets', async () => {
        this._platform.store.compact()
        return NOTHING_TO_UNDO
      }],
      ['config', async () => {
        this._platform.putConfig()
        return NOTHING_TO_UNDO
      }],
      ['keys', async () => this._replaceKey()],
      ['limit', async () => this._changeLimit()],
      ['ownerPause', async () => await this._pauseOwnerAtReturn()],
      ...this._hostFaults.all()
    ])
  }

  /** Injects one random fault, which ends after a random time. */
  public inject (): void {
    const name = pickRandom(this._random, this._names.length > 0 ? this._names : [...this._faults.keys()])
    const durationMs = 300 + this._random.next() * 3500
    const fault = this._faults.get(name)
    if (fault === undefined) throw new Error(`no fault is named ${name}`)
    this.log.push(`${name} for ${Math.round(durationMs)} ms`)
    const activeFault = fault().then(async (undo) => {
      await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
      await undo()
    }).catch((error: unknown) => { this._checker.violations.push(`soak: ${name}: ${String(error)}`) })
    this._activeFaults.add(activeFault)
    activeFault.finally(() => { this._activeFaults.delete(activeFault) }).catch(() => {})
  }

  /** Resolves when all faults have ended. */
  public async waitUntilEnded (): Promise<void> {
    while (this._activeFaults.size > 0) await Promise.all(this._activeFaults)
  }

  /** Applies a fault to a random eligible controller that no other fault affects at the moment; does nothing if there is none. */
  private async _disturbController (
    start: (controller: IController) => Promise<() => void | Promise<void>>, isEligible: (controller: IController) => boolean = () => true
  ): Promise<() => Promise<void>> {
    const free = this._cell.controllers.filter((controller) => !this._affected.has(controller) && isEligible(controller))
    if (free.length === 0) return async () => {}
    const controller = pickRandom(this._random, free)
    this._affected.add(controller)
    const undo = await start(controller)
    return async () => {
      await undo()
      this._affected.delete(controller)
    }
  }

  private _isOwner ({ id }: IController): boolean {
    return this._platform.store.read(OWNER_KEY)?.includes(`"${id}"`) === true
  }

  /** Kills all controllers that no other fault affects at the moment. */
  private async _killAll (): Promise<() => Promise<void>> {
    const killed = this._cell.controllers.filter((controller) => !this._affected.has(controller))
    for (const controller of killed) this._affected.add(controller)
    await Promise.all(killed.map(async ({ process }) => await process.kill()))
    return async () => {
      await Promise.all(killed.map(async (controller) => { await this._restartController(controller) }))
      for (const controller of killed) this._affected.delete(controller)
    }
  }

  private async _restartController (controller: IController): Promise<void> {
    this._cell.restart(controller)
    // The ready line is not awaited here: the process may have to wait for a store that can't be reached.
  }

  private _switchStore (on: Readonly<Record<string, unknown>>, off: Readonly<Record<string, unknown>>): () => void {
    this._platform.store.control(on)
    return () => { this._platform.store.control(off) }
  }

  /** Removes the first key of a workspace. Callers go on with its second key, which all processes know already, and a third one is added. */
  private _replaceKey (): () => void {
    const { name } = pickRandom(this._random, this._platform.workspaces)
    this._platform.putWorkspaces(this._platform.workspaces.map((workspace) => {
      const [, next = ''] = workspace.keys
      return workspace.name === name ? { ...workspace, keys: [next, `${next}+`] } : workspace
    }))
    return NOTHING_TO_UNDO
  }

  private _changeLimit (): () => void {
    const { name } = pickRandom(this._random, this._platform.workspaces)
    const maxCpu = pickRandom(this._random, LIMIT_SHARES) * (this._firstLimits.get(name) ?? 0)
    this._checker.recordLimit(name, maxCpu)
    this._platform.putWorkspaces(this._platform.workspaces.map((workspace) => workspace.name === name ? { ...workspace, maxCpu } : workspace))
    return NOTHING_TO_UNDO
  }

  /** The owner stands still while a host that was cut off returns. */
  private async _pauseOwnerAtReturn (): Promise<() => Promise<void>> {
    const heal = this._hostFaults.cut(pickRandom(this._random, this._platform.hosts))
    const longerMs = this._hostFaults.drawLongerMs()
    const pauseMs = this._random.next() * MAX_OWNER_PAUSE_MS
    return async () => {
      await pause(longerMs)
      const owner = this._cell.controllers.find((controller) => this._isOwner(controller) && !this._affected.has(controller))
      if (owner === undefined) return heal()
      this._affected.add(owner)
      owner.process.pause()
      await pause(pauseMs / 2)
      heal()
      await pause(pauseMs / 2)
      owner.process.resume()
      this._affected.delete(owner)
    }
  }
}
