/**
 * Measures the cost of membership at growing numbers of members: rounds until a change is known to all members, and bytes
 * per second of one process. The bench runs in virtual time and without sockets; casts are encoded as on a link.
 *
 *     npm run bench -- membership [members …]
 */

import { Packr } from 'msgpackr'

import { MEMBERSHIP_DEFAULTS } from '../src/common/membership/Options.js'
import type { IMembersCast } from '../src/common/protocol/Types.js'
import { startCluster } from '../test/support/MembershipCluster.js'
import type { INode, MembershipCluster } from '../test/support/MembershipCluster.js'

const SIZES = [9, 30, 100, 300, 900]
const REGIONS = 5
const LOST_REGION = 'r2'
const SEED = 17
const SETTLE_ROUNDS = 40
const QUIET_ROUNDS = 40
const MAX_ROUNDS = 400
/** The WebSocket, TCP and IP headers of a packet that carries one cast. */
const PACKET_BYTES = 4 + 32 + 20

/** Counts bytes as on the wire: like a link, it sends the shape of a record once per link. */
class WireMeter {
  public bytes = 0
  public crossRegionBytes = 0
  public casts = 0
  private readonly _encoders = new Map<string, Packr>()

  public readonly recordCast = (from: INode, to: INode, cast: IMembersCast): void => {
    const key = `${from.self.processId}>${to.self.processId}`
    const encoder = this._encoders.get(key) ?? new Packr({ sequential: true })
    this._encoders.set(key, encoder)
    const bytes = encoder.pack([3, 'members', cast]).length + PACKET_BYTES
    this.casts += 1
    this.bytes += bytes
    if (from.self.region !== to.self.region) this.crossRegionBytes += bytes
  }

  public reset (): void {
    this.bytes = 0
    this.crossRegionBytes = 0
    this.casts = 0
  }
}

export interface IMeasurement {
  readonly members: number
  readonly linksPerMember: number
  readonly quietBytesPerSecond: number
  readonly quietCrossRegionBytesPerSecond: number
  readonly joinRounds: number
  readonly deathRounds: number
  readonly churnBytesPerSecond: number
  /** Rounds until the members have converged after a whole region is lost at once. */
  readonly regionLossRounds: number
  readonly regionLossBytesPerSecond: number
}

/** Converts bytes that were sent in `rounds` to bytes per second and member. */
function bytesPerMemberSecond (bytes: number, rounds: number, members: number): number {
  return Math.round(bytes / (Math.max(1, rounds) * MEMBERSHIP_DEFAULTS.gossipMs / 1_000) / members)
}

function isKnownToAll (cluster: MembershipCluster, processId: string, state: string): boolean {
  return cluster.running().every((node) => node.membership.get(processId)?.state === state)
}

export function measureMembership (members: number): IMeasurement {
  const meter = new WireMeter()
  const cluster = startCluster(members, REGIONS, SEED, meter.recordCast)
  for (let round = 0; round < SETTLE_ROUNDS; round++) cluster.step()
  const linksPerMember = Math.round(cluster.linkCount() * 2 / members)
  meter.reset()
  for (let round = 0; round < QUIET_ROUNDS; round++) cluster.step()
  const quietBytesPerSecond = bytesPerMemberSecond(meter.bytes, QUIET_ROUNDS, members)
  const quietCrossRegionBytesPerSecond = bytesPerMemberSecond(meter.crossRegionBytes, QUIET_ROUNDS, members)
  meter.reset()
  const startRound = cluster.round
  cluster.start('joiner', 'r0', [cluster.node('p0')])
  const joinRounds = cluster.stepUntil(() => isKnownToAll(cluster, 'joiner', 'alive') && cluster.isConverged(), MAX_ROUNDS)
  cluster.node('p1').state = 'killed'
  const deathRounds = cluster.stepUntil(() => isKnownToAll(cluster, 'p1', 'dead'), MAX_ROUNDS)
  const churnBytesPerSecond = bytesPerMemberSecond(meter.bytes, cluster.round - startRound, members)
  meter.reset()
  const lossRound = cluster.round
  const lost = cluster.running().filter((node) => node.self.region === LOST_REGION)
  for (const node of lost) node.state = 'killed'
  const regionLossRounds = cluster.stepUntil(() => cluster.isConverged(), MAX_ROUNDS)
  const regionLossBytesPerSecond = bytesPerMemberSecond(meter.bytes, cluster.round - lossRound, members - lost.length)
  return {
    members,
    linksPerMember,
    quietBytesPerSecond,
    quietCrossRegionBytesPerSecond,
    joinRounds,
    deathRounds,
    churnBytesPerSecond,
    regionLossRounds,
    regionLossBytesPerSecond
  }
}

/** Fits a line of y over x by least squares; `error` is the standard error of the estimate. */
function fitLine (points: ReadonlyArray<readonly [number, number]>): { readonly slope: number, readonly intercept: number, readonly error: number } {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const sumXX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / sumXX
  const intercept = meanY - slope * meanX
  const residual = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0)
  return { slope, intercept, error: Math.sqrt(residual / Math.max(1, count - 2)) }
}

function print (line: object): void {
  console.log(JSON.stringify(line))
}

/** @param args member counts that replace the default ones */
export async function run (args: readonly string[]): Promise<void> {
  const sizes = args.length > 0 ? args.map(Number) : SIZES
  const results = sizes.map((members) => {
    const result = measureMembership(members)
    print({ bench: 'membership', ...result })
    return result
  })
  if (results.length < 3) return
  const fits = {
    quietBytesPerSecondPerMember: fitLine(results.map((result) => [result.members, result.quietBytesPerSecond])),
    churnBytesPerSecondPerMember: fitLine(results.map((result) => [result.members, result.churnBytesPerSecond])),
    joinRoundsPerDoubling: fitLine(results.map((result) => [Math.log2(result.members), result.joinRounds])),
    deathRoundsPerDoubling: fitLine(results.map((result) => [Math.log2(result.members), result.deathRounds]))
  }
  print({ bench: 'membership', fits })
}
