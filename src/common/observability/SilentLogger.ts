/**
 * A logger that drops everything, for tests and for tools that print their own results.
 */

import type { ILogger } from './Types.js'

export class SilentLogger implements ILogger {
  public debug (): void {}
  public info (): void {}
  public warn (): void {}
  public error (): void {}
}
