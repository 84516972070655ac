/**
 * Checks the lines of an INI text. Keeps the lines that the INI library reads as they are written, and reports the others.
 */

import type { ISettingsProblem } from './SettingsError.js'

const SECTION_LINE = /^\[([A-Za-z0-9]+)\]$/
const KEY_LINE = /^([A-Za-z0-9]+)\s*=(.*)$/
const COMMENT_LINE = /^[;#]/
/** A value with a comment character that follows another character directly, as in `token = a#b`. */
const TRUNCATED_VALUE = /^[^"';#][^;#]*(?<!\s)[;#]/
const UNTERMINATED_QUOTE = /^("(?!.*"$)|'(?!.*'$)|["']$)/

export class IniLineChecker {
  public readonly problems: ISettingsProblem[] = []
  public readonly validLines: string[] = []
  private readonly _seenPlaces = new Set<string>()
  private _section: string | undefined

  public checkLine (line: string, lineNumber: number): void {
    if (line === '' || COMMENT_LINE.test(line)) return
    const section = SECTION_LINE.exec(line)?.[1]
    const pair = KEY_LINE.exec(line)
    if (section !== undefined) this._openSection(section, line)
    else if (pair !== null) this._checkKey(pair[1] ?? '', (pair[2] ?? '').trim(), line)
    else this._report('', `line ${lineNumber} must be "[section]", "key = value" or a comment`)
  }

  private _openSection (section: string, line: string): void {
    this._section = section
    if (!this._addPlace(`[${section}]`)) this._report('', 'occurs twice; merge the two sections')
    this.validLines.push(line)
  }

  private _checkKey (key: string, value: string, line: string): void {
    if (this._section === undefined) this._report(key, 'must be inside a section')
    else if (!this._addPlace(`[${this._section}] ${key}`)) this._report(key, 'occurs twice; keep one of the lines')
    else if (TRUNCATED_VALUE.test(value)) this._report(key, 'must be in double quotes, because it contains ; or #')
    else if (UNTERMINATED_QUOTE.test(value)) this._report(key, 'must end with the quote it starts with, and nothing after it')
    else this.validLines.push(line)
  }

  private _addPlace (place: string): boolean {
    if (this._seenPlaces.has(place)) return false
    this._seenPlaces.add(place)
    return true
  }

  /** Reports a line without its value, because the malformed line may contain a secret. */
  private _report (key: string, allowed: string): void {
    this.problems.push({ section: this._section ?? '', key, value: '', allowed })
  }
}
