/**
 * How well a machine can own the cell, by its processor, link and memory, and how near it is to the store: figures that everything uses that
 * chooses an owner.
 *
 * Designed for fleets of unlike machines. An owner talks to all hosts and to all other machines, so a narrow link limits it as much as a slow
 * processor: on a machine with the processor for it but a link of 10 Mbit/s, start orders queue for hundreds of milliseconds while the
 * processor is idle, and hardly any job meets its objective until another machine takes over.
 */

/** What a machine has for the process. */
export interface IMachineCapacity {
  readonly processorCores: number
  /** Undefined if the link is not limited. */
  readonly linkMbps: number | undefined
  /** Undefined if the memory is not limited. */
  readonly memoryMb: number | undefined
}

/** Processor capacity that an owner should have, in cores: with 250 hosts and 80 jobs a second, an owner uses half a core. */
export const OWNER_CORES = 0.6
/** Bandwidth that an owner should have, in Mbit/s: the same load fills 10 Mbit/s, and queues build up long before a link is full. */
const OWNER_LINK_MBPS = 50
/** Memory that an owner should have, in MB: it holds all jobs and hosts, at least twice what a process needs that owns nothing. */
const OWNER_MEMORY_MB = 200
/**
 * How long the least fit machine lets others acquire the cell first, in ms: longer than a machine in the region farthest from the store waits, so
 * that a fit machine anywhere goes first.
 */
const MAX_UNFIT_YIELD_MS = 600

/** A store in the same region answers within this time, in ms. */
const NEAR_STORE_MS = 25
/**
 * The fitness of an owner far from the store, as a share of that of a near one. Each job waits for two writes before its first task starts;
 * from another region they take 90 ms, a quarter of the time that urgent jobs have to spare. That is worth a handover.
 */
const FAR_STORE_SHARE = 0.6

/** @param latencyMs the fastest answer of the store */
export function storeProximity (latencyMs: number): number {
  return latencyMs <= NEAR_STORE_MS ? 1 : FAR_STORE_SHARE
}

/** From 0 to 1; 1 means that the machine has all that an owner needs. A machine that lacks two resources is less fit than one that lacks one. */
export function ownerFitness ({ processorCores, linkMbps = Infinity, memoryMb = Infinity }: IMachineCapacity): number {
  return Math.min(1, processorCores / OWNER_CORES) * Math.min(1, linkMbps / OWNER_LINK_MBPS) * Math.min(1, memoryMb / OWNER_MEMORY_MB)
}

/** How long a machine waits for fitter ones to acquire the cell, in ms. */
export function unfitYieldMs (fitness: number): number {
  return (1 - fitness) * MAX_UNFIT_YIELD_MS
}
