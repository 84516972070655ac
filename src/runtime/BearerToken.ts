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
   * Whether an `Authorization` header contains the token.
   *
   * The comparison takes constant time, on digests of equal length. A comparison that stops at the first wrong character
   * takes longer the more characters are right, so that an attacker could guess the token one character at a time.
   */
  public matches (authorization: string | undefined): boolean {
    const shown = BEARER.exec(authorization ?? '')?.[1] ?? ''
    return timingSafeEqual(digestOf(shown), this._digest)
  }
}

function digestOf (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
