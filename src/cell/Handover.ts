/**
 * Planned stop of the owner: another process takes the cell over while this one still serves it.
 *
 * If the owner released its record instead, the cell would have no owner until the other processes have noticed, waited for each other and
 * created a lease. This takes 150 ms, or 1.4 s and more with a slow store, and callers are refused meanwhile. After a handover the cell has
 * an owner at each moment, and callers wait only until the next owner has read the jobs.
 */

import { chooseSuccessor } from '../common/cell/Successor.js'

import type { ISuccessorOffer } from '../common/cell/Successor.js'
import type { ICellOfferReply } from '../common/protocol/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ITimers } from '../common/Types.js'
import type { IPeerHandlers, IPeerHub, IPeerLink } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

/** A process that doesn't answer within this time is not asked to take over, in ms: six round trips between regions. */
export const OFFER_TIMEOUT_MS = 250
/**
 * A takeover takes two calls to the store: 0.7 s in total if the store is 90 times as slow as usual. After this timeout, in ms, the owner
 * releases the record.
 */
const TAKEOVER_TIMEOUT_MS = 1400

/** What a process tells owners of its fitness. */
export interface IReliefCandidate {
  /** Undefined while the process is no candidate for relief. */
  readonly offeredFitness: number | undefined
  /** An owner asks this process to take the cell over because it is fitter. */
  recordRequest (): void
}

/** How long offers are collected, in ms. */
export interface IOfferWait {
  readonly timeoutMs: number
  /** After the first acceptable offer, other peers have this long to answer. */
  readonly moreMs: number
}

/** Registers the handlers of the peers' calls that concern who owns the cell. */
export function registerOwnershipHandlers (handlers: IPeerHandlers, ownership: Ownership, candidate: IReliefCandidate): void {
  handlers.handle('cellReach', async () => ({ isReached: ownership.isOwner && await ownership.checkStoreReachable() }))
  const offer = (isWilling: boolean): ICellOfferReply => {
    const { offeredFitness: fitness } = candidate
    return { isWilling, yieldMs: ownership.yieldMs, peerUrl: ownership.peerUrl, ...(fitness === undefined ? {} : { fitness }) }
  }
  handlers.handle('cellOffer', async () => offer(ownership.canAcquire && ownership.isCurrent))
  handlers.handle('cellRelief', async () => offer(ownership.canAcquire && await ownership.checkStoreReachable()))
  handlers.handle('cellTakeOver', async ({ isRelief, ...owner }) => {
    if (isRelief === true) candidate.recordRequest()
    return { isOwner: await ownership.acceptHandover(owner) }
  })
}

/** Resolves when another process owns the cell, or the record has been released. */
export async function handOver (hub: IPeerHub, ownership: Ownership, log: ILogger): Promise<void> {
  ownership.prepareToStop()
  const { record } = ownership
  if (!ownership.isOwner || record === undefined) return
  const offers = await Promise.all(hub.links().map(async (link) => await requestOffer(link, record)))
  const successor = chooseSuccessor(offers)
  const isTaken = successor !== undefined && await requestTakeover(hub.link(successor.processId), record)
  log.info('owner.handedOver', { successor: successor?.processId, isTaken, offers: offers.length, revision: record.revision })
  if (!isTaken) await ownership.release()
}

/** Asks a peer whether it is willing to be the next owner; a peer that doesn't answer isn't. */
export async function requestOffer (
  link: IPeerLink, record: IOwnerRecord, ask: 'cellOffer' | 'cellRelief' = 'cellOffer', timeoutMs = OFFER_TIMEOUT_MS
): Promise<ISuccessorOffer> {
  const { processId, incarnation } = link.peer
  const reply = await link.call(ask, record, timeoutMs)
  return reply.isOk() ? { processId, incarnation, ...reply.value } : { processId, incarnation, peerUrl: '', isWilling: false, yieldMs: 0 }
}

/** Asks all peers for relief. Returns the answers that arrive until shortly after the first acceptable one. */
export async function collectReliefOffers (
  hub: IPeerHub, record: IOwnerRecord, { timeoutMs, moreMs }: IOfferWait, isAcceptable: (offer: ISuccessorOffer) => boolean, timers: ITimers,
  onFailure: (error: unknown) => void
): Promise<readonly ISuccessorOffer[]> {
  const pause = async (forMs: number): Promise<void> => { await new Promise<void>((resolve) => { timers.after(forMs, resolve) }) }
  const offers: ISuccessorOffer[] = []
  const firstAcceptable = new Promise<void>((resolve) => {
    for (const link of hub.links()) {
      requestOffer(link, record, 'cellRelief', timeoutMs).then((offer) => {
        offers.push(offer)
        if (isAcceptable(offer)) resolve()
      }, onFailure)
    }
  })
  await Promise.race([firstAcceptable, pause(timeoutMs)])
  await pause(moreMs)
  return [...offers]
}

/** Asks a process to take the cell over; resolves to whether it has done so. */
export async function requestTakeover (link: IPeerLink | undefined, record: IOwnerRecord, isRelief = false): Promise<boolean> {
  const reply = await link?.call('cellTakeOver', isRelief ? { ...record, isRelief } : record, TAKEOVER_TIMEOUT_MS)
  return reply?.isOk() === true && reply.value.isOwner
}
