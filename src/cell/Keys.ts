/**
 * Keys of the cell's own records in the store.
 */

export const CONTROL_PREFIX = 'jd/control/'
/** The ownership record: names the owner of the cell, and ends with its owner's lease. */
export const OWNER_KEY = `${CONTROL_PREFIX}owner`
/** The secret with which the cell's processes authenticate to each other. */
export const LINK_SECRET_KEY = `${CONTROL_PREFIX}link-secret`

/** Where each process can be reached. These records have no lease, so that an owner also finds processes that can't reach the store. */
export const MEMBER_PREFIX = 'jd/member/'

const JOB_PREFIX = 'jd/job/'
const PROGRESS_PREFIX = 'jd/progress/'
const LANE_PREFIX = 'jd/lane/'

export { JOB_PREFIX, LANE_PREFIX, PROGRESS_PREFIX }

export function jobKey (jobId: string): string {
  return JOB_PREFIX + jobId
}

export function progressKey (jobId: string): string {
  return PROGRESS_PREFIX + jobId
}

export function laneKey (lane: number): string {
  return `${LANE_PREFIX}${lane}`
}
