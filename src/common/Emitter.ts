/**
 * Typed events: the owner calls `fire`; listeners register through `event` and dispose its result to unregister.
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

/** Holds several disposables, such as the registrations of one owner, and disposes them together. */
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
