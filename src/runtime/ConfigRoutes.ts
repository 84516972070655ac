/**
 * The configuration part of the operators' HTTP interface.
 */

import { AmbiguousError, InvalidInputError } from '../common/Errors.js'
import { ConfigInvalidError } from '../common/config/ConfigInvalidError.js'
import { CONFIG_KINDS, isConfigKind, isConfigName } from '../common/config/ProfileSchema.js'
import { ConfigConflictError } from './config/ConfigConflictError.js'
import { errorReply, okReply } from './OperatorRoutes.js'

import type { ResultAsync } from 'neverthrow'
import type { ConfigKind, IConfigEntry, IConfigReplica } from '../common/config/Types.js'
import type { ConfigEditor, EditError, IEditTarget } from './config/ConfigEditor.js'
import type { IOperatorReply, IOperatorRequest, OperatorHandler, OperatorHandlers } from './OperatorRoutes.js'

/** The revision of a configuration item that one process applies. */
export interface IProcessRevision {
  readonly processId: string
  readonly region: string
  /** Absent if the process doesn't know the item or didn't answer. */
  readonly revision?: number
  /** Why the process didn't answer. */
  readonly error?: string
}

/** Queries the revision of an item in every process, this one included. Must not reject. */
export type RevisionQuery = (kind: ConfigKind, name: string) => Promise<readonly IProcessRevision[]>

interface IConfigId {
  readonly kind: ConfigKind
  readonly name: string
}

type ConfigIdHandler = (id: IConfigId, request: IOperatorRequest) => Promise<IOperatorReply>
type Edit = (target: IEditTarget, request: IOperatorRequest) => ResultAsync<IConfigEntry, EditError>

export class ConfigRoutes {
  public constructor (
    private readonly _editor: ConfigEditor,
    private readonly _replica: IConfigReplica,
    private readonly _queryRevisions: RevisionQuery
  ) {}

  public handlers (): OperatorHandlers {
    return {
      configList: request => this._list(request),
      configGet: withConfigId((id, { query }) => query['source'] === 'replica' ? this._getReplica(id) : this._get(id)),
      configPut: this._editHandler((target, request) => this._editor.put(target, request.body)),
      configDelete: this._editHandler(target => this._editor.delete(target)),
      configRollback: withConfigId((id, request) => this._rollback(id, request)),
      configHistory: withConfigId(async ({ kind, name }) => {
        const history = await this._editor.readHistory(kind, name)
        return history.match(entries => okReply({ entries }), toErrorReply)
      }),
      configEverywhere: withConfigId(async ({ kind, name }) => okReply({ places: await this._queryRevisions(kind, name) }))
    }
  }

  private _list ({ params }: IOperatorRequest): IOperatorReply {
    const kind = params['kind'] ?? ''
    if (!isConfigKind(kind)) return replyUnknownKind(kind)
    const entries = this._replica.entries().filter(entry => entry.kind === kind && !entry.deleted)
    return okReply({ entries: [...entries].sort((a, b) => a.name.localeCompare(b.name)) })
  }

  /** Returns the entry that this process applies; 404 if it doesn't know the item. */
  private async _getReplica ({ kind, name }: IConfigId): Promise<IOperatorReply> {
    const entry = this._replica.get(kind, name)
    return entry === undefined ? errorReply(404, 'notFound', `there is no ${kind} ${name}`) : okReply({ entry, source: 'replica' })
  }

  /** Returns the entry in the store or, while the store is unreachable, the one that this process applies. */
  private async _get ({ kind, name }: IConfigId): Promise<IOperatorReply> {
    const stored = await this._editor.readCurrent(kind, name)
    const known = stored.isOk() ? stored.value : this._replica.get(kind, name)
    if (known !== undefined) return okReply({ entry: known, source: stored.isOk() ? 'store' : 'replica' })
    if (stored.isErr()) return toErrorReply(stored.error)
    return errorReply(404, 'notFound', `there is no ${kind} ${name}`)
  }

  private async _rollback (id: IConfigId, request: IOperatorRequest): Promise<IOperatorReply> {
    const toRevision = (request.body as { readonly toRevision?: unknown } | undefined)?.toRevision
    if (typeof toRevision !== 'number') {
      return errorReply(400, 'badRequest', 'send {"toRevision": <revision>} with a revision from the history')
    }
    return await this._runEdit(id, request, target => this._editor.rollback(target, toRevision))
  }

  private _editHandler (edit: Edit): OperatorHandler {
    return withConfigId((id, request) => this._runEdit(id, request, edit))
  }

  private async _runEdit (id: IConfigId, request: IOperatorRequest, edit: Edit): Promise<IOperatorReply> {
    if (request.ifMatch === undefined) {
      return errorReply(428, 'revisionMissing', 'send the revision that you edited as If-Match, 0 for a new item')
    }
    const target = { ...id, seenRevision: request.ifMatch, writer: request.operator }
    const result = await edit(target, request)
    return result.match(entry => okReply({ entry }), toErrorReply)
  }
}

/** Checks the kind and the name in the path before the handler runs. */
function withConfigId (handler: ConfigIdHandler): OperatorHandler {
  return async request => {
    const { kind = '', name = '' } = request.params
    if (!isConfigKind(kind)) return replyUnknownKind(kind)
    if (!isConfigName(name)) {
      return errorReply(400, 'invalid', `name must be 1 to 63 lower-case letters, digits, dots, dashes or underscores, not ${JSON.stringify(name)}`)
    }
    return await handler({ kind, name }, request)
  }
}

function replyUnknownKind (kind: string): IOperatorReply {
  return errorReply(404, 'unknownKind', `there is no kind ${JSON.stringify(kind)}; the kinds are ${CONFIG_KINDS.join(', ')}`)
}

function toErrorReply (error: EditError): IOperatorReply {
  if (error instanceof ConfigConflictError) {
    return errorReply(409, 'conflict', `${error.message}; edit the current revision instead`, { current: error.current })
  }
  if (error instanceof ConfigInvalidError) return errorReply(400, 'invalid', `${error.peer} is not accepted: ${error.summary}`, { problems: error.problems })
  if (error instanceof InvalidInputError) return errorReply(400, 'invalid', error.message)
  if (error instanceof AmbiguousError) {
    return errorReply(504, 'unconfirmed', `${error.message}; read the item again to see whether the change is in force`)
  }
  return errorReply(503, 'storeUnavailable', `${error.message}; nothing was changed, try again later`)
}
