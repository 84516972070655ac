/**
 * The state dump of a process: its components register sections, and an operator reads one or all of them. A dump is read
 * when something is wrong, so it must work then: its size is limited whatever a section contains, and a section that fails
 * leaves the others readable.
 */

import { PlainCopier } from './PlainCopier.js'

import type { IDisposable } from '../Types.js'

/** Returns the state of one component; called only when a dump is read. */
export type DumpSection = () => unknown

export class DumpRegistry {
  private readonly _sections = new Map<string, DumpSection>()

  /** @param _maxBytes the approximate size limit of a dump, divided evenly among its sections */
  public constructor (private readonly _maxBytes: number) {}

  public register (name: string, section: DumpSection): IDisposable {
    if (this._sections.has(name)) throw new Error(`dump section ${name} is registered twice`)
    this._sections.set(name, section)
    return { dispose: () => { this._sections.delete(name) } }
  }

  public names (): readonly string[] {
    return [...this._sections.keys()]
  }

  /** Returns the named section, or all of them, as plain data; undefined if there is no such section. */
  public dump (name?: string): Readonly<Record<string, unknown>> | undefined {
    const names = name === undefined ? this.names() : [name]
    if (names.some(sectionName => !this._sections.has(sectionName))) return undefined
    const maxBytes = this._maxBytes / Math.max(1, names.length)
    return Object.fromEntries(names.map(sectionName => [sectionName, this._copy(sectionName, maxBytes)]))
  }

  private _copy (name: string, maxBytes: number): unknown {
    try {
      return new PlainCopier(maxBytes).copy(this._sections.get(name)?.())
    } catch (error) {
      return `(failed: ${String(error)})`
    }
  }
}
