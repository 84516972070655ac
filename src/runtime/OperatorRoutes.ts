/**
 * The routes of the operators' HTTP interface: names, methods and paths. Each process handles those that concern it.
 */

export const OPERATOR_ROUTES = {
  dump: 'GET /v1/dump',
  metrics: 'GET /v1/metrics',
  outcomes: 'GET /v1/outcomes',
  hosts: 'GET /v1/hosts',
  jobs: 'GET /v1/jobs',
  shards: 'GET /v1/shards',
  members: 'GET /v1/members',
  drain: 'POST /v1/drain',
  configList: 'GET /v1/config/:kind',
  configGet: 'GET /v1/config/:kind/:name',
  configPut: 'PUT /v1/config/:kind/:name',
  configDelete: 'DELETE /v1/config/:kind/:name',
  configHistory: 'GET /v1/config/:kind/:name/history',
  configEverywhere: 'GET /v1/config/:kind/:name/everywhere',
  configRollback: 'POST /v1/config/:kind/:name/rollback'
} as const

export type OperatorRouteName = keyof typeof OPERATOR_ROUTES

export interface IOperatorRequest {
  /** Parameters in the path. */
  readonly params: Readonly<Record<string, string>>
  /** Parameters in the query string, without those that occur more than once. */
  readonly query: Readonly<Record<string, string>>
  readonly body: unknown
  /** The revision in `If-Match`, if there is one. */
  readonly ifMatch: number | undefined
  /** The operator's name from the header `x-jackdawreel-operator`; it is not verified. */
  readonly operator: string
}

export interface IOperatorReply {
  readonly status: number
  readonly value: unknown
}

export type OperatorHandler = (request: IOperatorRequest) => IOperatorReply | Promise<IOperatorReply>

/** The handlers of the routes that one process serves. */
export type OperatorHandlers = Readonly<Partial<Record<OperatorRouteName, OperatorHandler>>>

/** The body of every response with a status other than 2xx. */
export interface IOperatorError {
  /** An error code for programs, for example `conflict`. */
  readonly error: string
  /** A sentence for operators that says what to do. */
  readonly message: string
}

export function okReply (value: unknown): IOperatorReply {
  return { status: 200, value }
}

/** @param more further fields for programs */
export function errorReply (status: number, error: string, message: string, more: object = {}): IOperatorReply {
  return { status, value: { error, message, ...more } satisfies IOperatorError }
}
