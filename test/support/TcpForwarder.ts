/**
 * A TCP forwarder for tests of network failures. It can discard the data of one or both directions while the connections stay
 * open, as a broken network path does, or it can close the connections.
 */

import { connect, createServer } from 'node:net'

import type { AddressInfo, Server, Socket } from 'node:net'

export type Direction = 'toTarget' | 'toClient'

interface IPair {
  readonly client: Socket
  readonly target: Socket
  /** Its data is discarded for good, and its end isn't forwarded. */
  isAbandoned: boolean
}

export class TcpForwarder {
  private readonly _server: Server
  private readonly _pairs = new Set<IPair>()
  private readonly _cutDirections = new Set<Direction>()

  public constructor (private _targetPort: number, private readonly _targetIp = '127.0.0.1') {
    this._server = createServer({ allowHalfOpen: true }, (client) => this._accept(client))
    this._server.unref()
  }

  /** Listens on a free port; resolves with the port. */
  public async listen (): Promise<number> {
    await new Promise<void>((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
    return (this._server.address() as AddressInfo).port
  }

  /** Forwards new connections to this port, for a target that was restarted. */
  public retarget (port: number): void {
    this._targetPort = port
  }

  /** Discards all data in these directions from now on, and doesn't forward the end of a connection either. */
  public cut (...directions: readonly Direction[]): void {
    for (const direction of directions) this._cutDirections.add(direction)
  }

  /** Forwards again. All open connections are closed, because bytes of them may be lost. */
  public heal (): void {
    this._cutDirections.clear()
    this.dropAll()
  }

  /** Forwards new connections again. Those that are open stay open without data, as after the machine of the target has failed. */
  public healForNew (): void {
    this._cutDirections.clear()
    for (const pair of this._pairs) pair.isAbandoned = true
  }

  /** Closes all connections on both sides. */
  public dropAll (): void {
    for (const { client, target } of this._pairs) {
      client.destroy()
      target.destroy()
    }
    this._pairs.clear()
  }

  public async close (): Promise<void> {
    this.dropAll()
    await new Promise<void>((resolve) => { this._server.close(() => resolve()) })
  }

  private _accept (client: Socket): void {
    const target = connect({ port: this._targetPort, host: this._targetIp, allowHalfOpen: true })
    const pair = { client, target, isAbandoned: false }
    this._pairs.add(pair)
    this._pipe(pair, client, target, 'toTarget')
    this._pipe(pair, target, client, 'toClient')
  }

  private _pipe (pair: IPair, from: Socket, to: Socket, direction: Direction): void {
    const isCut = (): boolean => pair.isAbandoned || this._cutDirections.has(direction)
    from.setNoDelay(true)
    from.on('data', (chunk) => { if (!isCut()) to.write(chunk) })
    from.on('end', () => { if (!isCut()) to.end() })
    from.on('error', () => {})
    from.on('close', () => {
      if (isCut()) return
      to.destroy()
      this._pairs.delete(pair)
    })
  }
}
