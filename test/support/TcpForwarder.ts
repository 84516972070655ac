/**
 * A small TCP forwarder for the failure tests: it can swallow what goes in one direction or both while the
 * connections stay open, as a broken network path does, or drop the connections.
 */

import { connect, createServer } from 'node:net'

import type { AddressInfo, Server, Socket } from 'node:net'

export type Direction = 'toTarget' | 'toClient'

interface IPair {
  readonly client: Socket
  readonly target: Socket
}

export class TcpForwarder {
  private readonly _server: Server
  private readonly _pairs = new Set<IPair>()
  private readonly _cut = new Set<Direction>()

  public constructor (private _targetPort: number, private readonly _targetIp = '127.0.0.1') {
    this._server = createServer({ allowHalfOpen: true }, (client) => this._accept(client))
    this._server.unref()
  }

  /** Gives the port to connect to. */
  public async listen (): Promise<number> {
    await new Promise<void>((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
    return (this._server.address() as AddressInfo).port
  }

  /** Connections from now on go to this port: the target has been started again. */
  public retarget (port: number): void {
    this._targetPort = port
  }

  /** Swallows everything in these directions from now on, the end of a connection included. */
  public cut (...directions: readonly Direction[]): void {
    for (const direction of directions) this._cut.add(direction)
  }

  /** Forwards again; connections that lost bytes are of no more use and are dropped. */
  public heal (): void {
    this._cut.clear()
    this.dropAll()
  }

  /** Ends all connections at both sides. */
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
    const pair = { client, target }
    this._pairs.add(pair)
    this._pipe(pair, client, target, 'toTarget')
    this._pipe(pair, target, client, 'toClient')
  }

  private _pipe (pair: IPair, from: Socket, to: Socket, direction: Direction): void {
    from.setNoDelay(true)
    from.on('data', (chunk) => { if (!this._cut.has(direction)) to.write(chunk) })
    from.on('end', () => { if (!this._cut.has(direction)) to.end() })
    from.on('error', () => {})
    from.on('close', () => {
      if (this._cut.has(direction)) return
      to.destroy()
      this._pairs.delete(pair)
    })
  }
}
