/**
 * The members as this process sees them: the shared view, overridden by the links of this process, which are better
 * evidence of which members it can reach.
 */

import { Emitter } from '../Emitter.js'
import type { IMember, IMemberRecord, MemberState } from '../protocol/Types.js'
import type { LinkWatch } from './LinkWatch.js'
import type { MemberView } from './MemberView.js'

export class LocalMembers {
  private readonly _members = new Map<string, IMember>()
  private readonly _changeEmitter = new Emitter<IMember>()

  /** Fires when this process learns of a new member, or when a member's state or incarnation has changed. */
  public readonly onMember = this._changeEmitter.event

  public constructor (private readonly _view: MemberView, private readonly _links: LinkWatch) {}

  public get (processId: string): IMember | undefined {
    return this._members.get(processId)
  }

  public all (): readonly IMember[] {
    return [...this._members.values()]
  }

  public forget (processId: string): void {
    this._members.delete(processId)
  }

  /** Updates a member. Must be called after any change of its record in the view or of the link to it. */
  public refresh (processId: string): void {
    const record = this._view.get(processId)
    if (record === undefined) return
    const state = this._stateOf(record)
    const before = this._members.get(processId)
    if (before?.state === state && before.incarnation === record.incarnation) return
    const { sequence, ...rest } = record
    const member = { ...rest, state }
    this._members.set(processId, member)
    this._changeEmitter.fire(member)
  }

  private _stateOf (record: IMemberRecord): MemberState {
    if (record.state === 'leaving') return 'leaving'
    if (this._links.isUp(record)) return 'alive'
    if (record.state === 'alive' && this._links.isDown(record)) return 'suspect'
    return record.state
  }
}
