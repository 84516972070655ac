/**
 * The configuration of a process against a store whose answers are scripted.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { advance } from '../../test/support/advance.js'
import { ConfigFeed } from './ConfigFeed.js'

import type { IMetadataItem, IMetadataRange, IMetadataStore, ReadOutcome, WatchOutcome } from '../common/cell/Types.js'
import type { ICellRecords } from './Types.js'

const CONFIG_KEY = 'operator/config'
const READ_AWAY = { kind: 'failed', reason: 'silent' } as const
/** How long calls to a store that is away take to fail, in ms; a poll: beyond what the store was to wait. */
const READ_SILENCE_MS = 1500
const POLL_SILENCE_MS = 800
/** A read that was made just before the store is back, and another one, in ms. */
const SOON_MS = 1800

class ScriptedStore {
  public version = 1
  public isAway = false

  public constructor (private readonly _clock: ManualClock) {}

  public async get (): Promise<ReadOutcome<IMetadataItem | undefined>> {
    return await this._isUnanswered() ? READ_AWAY : { kind: 'read', value: this._item() }
  }

  public async range (): Promise<ReadOutcome<IMetadataRange>> {
    if (await this._isUnanswered()) return READ_AWAY
    return { kind: 'read', value: { items: [this._item()], revision: this.version } }
  }

  public async watch (_prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
    const { isAway } = this
    if (isAway || afterRevision >= this.version) await this._after(waitMs)
    if (await this._isUnanswered(POLL_SILENCE_MS, isAway)) return READ_AWAY
    const events = afterRevision < this.version ? [{ key: CONFIG_KEY, item: this._item(), revision: this.version }] : []
    return { kind: 'events', events, revision: this.version }
  }

  private _item (): IMetadataItem {
    return { key: CONFIG_KEY, value: String(this.version), revision: this.version }
  }

  /** A call that was made while the store was away is never answered. */
  private async _isUnanswered (silenceMs = READ_SILENCE_MS, isAway = this.isAway): Promise<boolean> {
    if (isAway) await this._after(silenceMs)
    return isAway
  }

  private async _after (delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this._clock.after(delayMs, resolve) })
  }
}

function setUp () {
  const clock = new ManualClock()
  const store = new ScriptedStore(clock)
  const records = {
    operatorPrefix: 'operator/', configKey: CONFIG_KEY, decodeConfig: (text: string) => ({ version: Number(text), queues: [] })
  }
  const feed = new ConfigFeed(store as unknown as IMetadataStore, records as unknown as ICellRecords, clock, new SilentLogger())
  return { clock, store, feed }
}

test('a configuration stays current while polls find nothing new', async (t) => {
  const { clock, feed } = setUp()
  t.false(feed.isCurrent)
  feed.start()
  await advance(clock, 100)
  for (let step = 0; step < 50; step += 1) {
    await advance(clock, 100)
    t.true(feed.isCurrent)
  }
})

test('a configuration is not current while the store is away, and is again with its first answer', async (t) => {
  const { clock, store, feed } = setUp()
  feed.start()
  await advance(clock, 100)
  store.isAway = true
  await advance(clock, 6000)
  t.false(feed.isCurrent)
  store.isAway = false
  store.version = 2
  await advance(clock, 2500)
  t.true(feed.isCurrent)
  t.is(feed.version, 2)
})

test('a process that is behind tells whether it has caught up', async (t) => {
  const { clock, store, feed } = setUp()
  store.version = 3
  t.true(await feed.catchUp(2))
  store.isAway = true
  const outcome = feed.catchUp(4)
  await advance(clock, READ_SILENCE_MS)
  t.false(await outcome)
})

test('a change is in force soon after the store is back, whenever that is', async (t) => {
  // A poll that waits for news is given up only after its wait: on the way back from an outage it cost two seconds.
  for (let outageMs = 2500; outageMs < 12_000; outageMs += 150) {
    const { clock, store, feed } = setUp()
    feed.start()
    await advance(clock, 100)
    store.isAway = true
    await advance(clock, outageMs)
    store.isAway = false
    store.version = 2
    await advance(clock, SOON_MS)
    t.is(feed.version, 2, `after ${outageMs} ms`)
    feed.dispose()
  }
})
