/**
 * Writes the state dump to the log when the process receives SIGUSR2, for processes whose operator listener doesn't respond.
 */

import type { DumpRegistry } from '../common/observability/DumpRegistry.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IDisposable } from '../common/Types.js'

const SIGNAL = 'SIGUSR2'

export class SignalDumpWriter implements IDisposable {
  private readonly _listener = () => this._writeDump()

  public constructor (private readonly _registry: DumpRegistry, private readonly _logger: ILogger) {
    process.on(SIGNAL, this._listener)
  }

  public dispose (): void {
    process.off(SIGNAL, this._listener)
  }

  private _writeDump (): void {
    for (const section of this._registry.names()) {
      this._logger.warn('process.dump', { section, state: JSON.stringify(this._registry.dump(section)?.[section]) })
    }
  }
}
