/**
 * The part of undici that the packed controller uses: the clients. The package's main module also loads fetch, cookies, caches and
 * WebSocket, which would delay the start of each process until it accepts callers.
 */

'use strict'

exports.Client = require('../node_modules/undici/lib/dispatcher/client')
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool')
