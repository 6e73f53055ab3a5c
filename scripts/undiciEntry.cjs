// The parts of undici that the bundles use. The index of undici also loads fetch, web sockets, caches and mocks, which
// cost a process 12 MB and 0.05 s of processor time at its start.
const request = require('undici/lib/api/api-request.js')
const buildConnector = require('undici/lib/core/connect.js')
const Agent = require('undici/lib/dispatcher/agent.js')
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
const Pool = require('undici/lib/dispatcher/pool.js')

Dispatcher.prototype.request = request
let globalAgent

module.exports = {
  Agent,
  buildConnector,
  Pool,
  request (url, { dispatcher, ...options } = {}) {
    const { origin, pathname, search } = new URL(url)
    globalAgent ??= new Agent()
    return (dispatcher ?? globalAgent).request({ method: 'GET', ...options, origin, path: pathname + search })
  }
}
