/**
 * The configuration part of the operators' HTTP interface.
 */

import { AmbiguousError, InvalidInputError } from '../common/Errors.js'
import { ConfigInvalidError } from '../common/config/ConfigInvalidError.js'
import { CONFIG_KINDS, isConfigKind, isConfigName } from '../common/config/ProfileSchema.js'
import { ConfigConflictError } from './config/ConfigConflictError.js'
import { faultReply, okReply } from './OperatorRoutes.js'

import type { ResultAsync } from 'neverthrow'
import type { ConfigKind, IConfigEntry, IConfigReplica } from '../common/config/Types.js'
import type { ConfigEditor, EditError, IEditTarget } from './config/ConfigEditor.js'
import type { IOperatorReply, IOperatorRequest, OperatorHandler, OperatorHandlers } from './OperatorRoutes.js'

/** Which revision of a thing one process decides by. */
export interface IRevisionPlace {
  readonly processId: string
  readonly region: string
  /** Absent where the process doesn't know the thing or didn't answer. */
  readonly revision?: number
  /** Why it didn't answer. */
  readonly error?: string
}

/** Asks every process, this one included. Must not reject. */
export type AskEverywhere = (kind: ConfigKind, name: string) => Promise<readonly IRevisionPlace[]>

interface INamed {
  readonly kind: ConfigKind
  readonly name: string
}

type NamedHandler = (thing: INamed, request: IOperatorRequest) => Promise<IOperatorReply>
type Edit = (target: IEditTarget, request: IOperatorRequest) => ResultAsync<IConfigEntry, EditError>

export class ConfigRoutes {
  public constructor (
    private readonly _editor: ConfigEditor,
    private readonly _replica: IConfigReplica,
    private readonly _askEverywhere: AskEverywhere
  ) {}

  public handlers (): OperatorHandlers {
    return {
      configList: request => this._list(request),
      configGet: named((thing, { query }) => query['source'] === 'replica' ? this._getReplica(thing) : this._get(thing)),
      configPut: this._edit((target, request) => this._editor.put(target, request.body)),
      configDelete: this._edit(target => this._editor.delete(target)),
      configRollback: named((thing, request) => this._rollback(thing, request)),
      configHistory: named(async ({ kind, name }) => {
        const history = await this._editor.history(kind, name)
        return history.match(entries => okReply({ entries }), faultOf)
      }),
      configEverywhere: named(async ({ kind, name }) => okReply({ places: await this._askEverywhere(kind, name) }))
    }
  }

  private _list ({ params }: IOperatorRequest): IOperatorReply {
    const kind = params['kind'] ?? ''
    if (!isConfigKind(kind)) return unknownKind(kind)
    const entries = this._replica.entries().filter(entry => entry.kind === kind && !entry.deleted)
    return okReply({ entries: [...entries].sort((a, b) => a.name.localeCompare(b.name)) })
  }

  /** What this process decides by; 404 when it doesn't know the thing. */
  private async _getReplica ({ kind, name }: INamed): Promise<IOperatorReply> {
    const entry = this._replica.get(kind, name)
    return entry === undefined ? faultReply(404, 'notFound', `there is no ${kind} ${name}`) : okReply({ entry, source: 'replica' })
  }

  /** What the store holds; while it is out of reach, what this process decides by. */
  private async _get ({ kind, name }: INamed): Promise<IOperatorReply> {
    const stored = await this._editor.current(kind, name)
    const known = stored.isOk() ? stored.value : this._replica.get(kind, name)
    if (known !== undefined) return okReply({ entry: known, source: stored.isOk() ? 'store' : 'replica' })
    if (stored.isErr()) return faultOf(stored.error)
    return faultReply(404, 'notFound', `there is no ${kind} ${name}`)
  }

  private async _rollback (thing: INamed, request: IOperatorRequest): Promise<IOperatorReply> {
    const toRevision = (request.body as { readonly toRevision?: unknown } | undefined)?.toRevision
    if (typeof toRevision !== 'number') {
      return faultReply(400, 'badRequest', 'send {"toRevision": <revision>} with a revision of the history')
    }
    return await this._run(thing, request, target => this._editor.rollback(target, toRevision))
  }

  private _edit (edit: Edit): OperatorHandler {
    return named((thing, request) => this._run(thing, request, edit))
  }

  private async _run (thing: INamed, request: IOperatorRequest, edit: Edit): Promise<IOperatorReply> {
    if (request.ifMatch === undefined) {
      return faultReply(428, 'revisionMissing', 'send the revision that you saw as If-Match, 0 for something new')
    }
    const target = { ...thing, seenRevision: request.ifMatch, writer: request.operator }
    const result = await edit(target, request)
    return result.match(entry => okReply({ entry }), faultOf)
  }
}

/** Checks kind and name of the path before the handler runs. */
function named (handler: NamedHandler): OperatorHandler {
  return async request => {
    const { kind = '', name = '' } = request.params
    if (!isConfigKind(kind)) return unknownKind(kind)
    if (!isConfigName(name)) {
      return faultReply(400, 'invalid', `name must be 1 to 63 lower-case letters, digits, dots, dashes or underscores, not ${JSON.stringify(name)}`)
    }
    return await handler({ kind, name }, request)
  }
}

function unknownKind (kind: string): IOperatorReply {
  return faultReply(404, 'unknownKind', `there is no kind ${JSON.stringify(kind)}; the kinds are ${CONFIG_KINDS.join(', ')}`)
}

function faultOf (error: EditError): IOperatorReply {
  if (error instanceof ConfigConflictError) {
    return faultReply(409, 'conflict', `${error.message}; look at the current one and edit again`, { current: error.current })
  }
  if (error instanceof ConfigInvalidError) return faultReply(400, 'invalid', `${error.peer} is not accepted: ${error.summary}`, { problems: error.problems })
  if (error instanceof InvalidInputError) return faultReply(400, 'invalid', error.message)
  if (error instanceof AmbiguousError) {
    return faultReply(504, 'unconfirmed', `${error.message}; get it again to see whether the change is in force`)
  }
  return faultReply(503, 'storeUnavailable', `${error.message}; nothing was changed, try again later`)
}
