/**
 * Goes through the lines of an INI text, keeps those that mean what they say, and reports the others.
 */

import type { ISettingsProblem } from './SettingsError.js'

const SECTION_LINE = /^\[([A-Za-z0-9]+)\]$/
const KEY_LINE = /^([A-Za-z0-9]+)\s*=(.*)$/
const COMMENT_LINE = /^[;#]/
/** A comment sign right after a character, as in `token = a#b`. */
const CUT_VALUE = /^[^"';#][^;#]*(?<!\s)[;#]/
const HALF_QUOTED = /^("(?!.*"$)|'(?!.*'$)|["']$)/

export class IniScan {
  public readonly problems: ISettingsProblem[] = []
  public readonly goodLines: string[] = []
  private readonly _seen = new Set<string>()
  private _section: string | undefined

  public take (line: string, lineNumber: number): void {
    if (line === '' || COMMENT_LINE.test(line)) return
    const section = SECTION_LINE.exec(line)?.[1]
    const pair = KEY_LINE.exec(line)
    if (section !== undefined) this._openSection(section, line)
    else if (pair !== null) this._addKey(pair[1] ?? '', (pair[2] ?? '').trim(), line)
    else this._report('', `line ${lineNumber} must be "[section]", "key = value" or a comment`)
  }

  private _openSection (section: string, line: string): void {
    this._section = section
    if (!this._isFirst(`[${section}]`)) this._report('', 'stands twice; join the two sections')
    this.goodLines.push(line)
  }

  private _addKey (key: string, value: string, line: string): void {
    if (this._section === undefined) this._report(key, 'must stand below a section')
    else if (!this._isFirst(`[${this._section}] ${key}`)) this._report(key, 'stands twice; keep one')
    else if (CUT_VALUE.test(value)) this._report(key, 'must be in double quotes, because it holds ; or #')
    else if (HALF_QUOTED.test(value)) this._report(key, 'must end with the quote it starts with, and nothing after it')
    else this.goodLines.push(line)
  }

  private _isFirst (place: string): boolean {
    if (this._seen.has(place)) return false
    this._seen.add(place)
    return true
  }

  /** Shows no value: the broken line may hold a secret. */
  private _report (key: string, allowed: string): void {
    this.problems.push({ section: this._section ?? '', key, value: '', allowed })
  }
}
