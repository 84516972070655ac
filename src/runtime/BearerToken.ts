/**
 * Checks the bearer token of a request.
 */

import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER = /^Bearer +(\S+)$/i

export class BearerToken {
  private readonly _digest: Buffer

  public constructor (token: string) {
    this._digest = digestOf(token)
  }

  /**
   * Whether an `Authorization` header shows the token.
   *
   * A comparison that stops at the first wrong character takes longer the more characters are right, so a patient
   * intruder can guess the token one character at a time. Digests of equal length are compared in constant time.
   */
  public admits (authorization: string | undefined): boolean {
    const shown = BEARER.exec(authorization ?? '')?.[1] ?? ''
    return timingSafeEqual(digestOf(shown), this._digest)
  }
}

function digestOf (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
