/**
 * The state dump of a process: its parts register sections, and an operator reads one or all. A dump is asked for when
 * something is wrong, so it must work then: it is bounded in size whatever a section holds, and a section that fails
 * leaves the others readable.
 */

import { PlainCopier } from './PlainCopier.js'

import type { IDisposable } from '../Types.js'

/** Gives the state of one part of the process; called only when a dump is asked for. */
export type DumpSection = () => unknown

export class DumpRegistry {
  private readonly _sections = new Map<string, DumpSection>()

  /** @param _maxBytes about the largest dump; sections share it evenly */
  public constructor (private readonly _maxBytes: number) {}

  public register (name: string, section: DumpSection): IDisposable {
    if (this._sections.has(name)) throw new Error(`dump section ${name} is registered twice`)
    this._sections.set(name, section)
    return { dispose: () => { this._sections.delete(name) } }
  }

  public names (): readonly string[] {
    return [...this._sections.keys()]
  }

  /** The named section or all, as plain data; absent where there is no such section. */
  public dump (name?: string): Readonly<Record<string, unknown>> | undefined {
    const names = name === undefined ? this.names() : [name]
    if (names.some(each => !this._sections.has(each))) return undefined
    const maxBytes = this._maxBytes / Math.max(1, names.length)
    return Object.fromEntries(names.map(each => [each, this._copy(each, maxBytes)]))
  }

  private _copy (name: string, maxBytes: number): unknown {
    try {
      return new PlainCopier(maxBytes).copy(this._sections.get(name)?.())
    } catch (error) {
      return `(failed: ${String(error)})`
    }
  }
}
