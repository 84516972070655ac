/**
 * Typed events: an owner fires, listeners register through `event` and dispose what they get back.
 */

import type { IDisposable } from './Types.js'

export type Event<T> = (listener: (value: T) => void) => IDisposable

export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()

  /** Registers a listener. */
  public readonly event: Event<T> = (listener) => {
    this._listeners.add(listener)
    return { dispose: () => { this._listeners.delete(listener) } }
  }

  public fire (value: T): void {
    for (const listener of [...this._listeners]) listener(value)
  }

  public dispose (): void {
    this._listeners.clear()
  }
}

/** Disposes many things as one; for an owner with several registrations. */
export class DisposableStore implements IDisposable {
  private readonly _items: IDisposable[] = []

  public add<T extends IDisposable> (item: T): T {
    this._items.push(item)
    return item
  }

  public dispose (): void {
    for (const item of this._items.splice(0)) item.dispose()
  }
}
