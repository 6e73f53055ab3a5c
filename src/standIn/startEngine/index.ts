import type { IncomingMessage, ServerResponse } from 'node:http'
import xxhash from 'xxhash-wasm'
import { z } from 'zod'
import type { ListenAddress } from '../../contract/ListenAddress'
import { TargetAction } from '../../contract/TargetAction'
import { parseJsonBody } from '../../instance/parseJsonBody'
import { readBody } from '../../instance/readBody'
import { startHttpServer } from '../../instance/startHttpServer'
import { CompletionRequest } from '../_lib/CompletionRequest'
import { createCompletionFormat } from '../_lib/createCompletionFormat'
import { RestartableServer } from '../_lib/RestartableServer'
import { createRandom } from '../createRandom'
import { sendJson } from '../_lib/sendJson'
import { CacheEventLog } from '../CacheEventLog'
import { FencingTokenVerifier } from '../FencingTokenVerifier'
import { createToken } from '../createToken'
import { EngineBatch } from '../EngineBatch'
import { EngineRecord } from '../EngineRecord'
import { EngineSettings } from '../EngineSettings'
import { LaggingValue } from '../LaggingValue'
import { PrefixCache } from '../PrefixCache'

const MAX_BODY_BYTES = 4 * 1024 * 1024
const CHARS_PER_TOKEN = 4
const TargetCommand = z.object({ id: z.string(), action: TargetAction, fencingToken: z.number().int().nonnegative() })

interface RunningEngine {
  address: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startEngine
 * @category Stand-in
 * @summary Starts a stand-in for an inference engine with an OpenAI-compatible API.
 *
 * @description
 * - `POST /v1/completions` and `/v1/chat/completions` run a request in a continuous batch and cancel it when the
 *   connection closes. With `resume_from` in the body, generation resumes after that number of tokens.
 * - `GET /load`, `GET /cache-events?after=<seq>` and `GET /health` report the state of the engine.
 * - `POST /commands` runs commands with a fencing token.
 * - `GET /record` lists the received requests and commands.
 * - A request with one of the `crashPrefixes` crashes the engine when it begins to answer: all connections are reset, new
 *   ones are refused for `crashMs`, and running requests and the prefix cache are lost.
 * - `PUT /options` changes settings while the engine runs, except the seed, cache size, models and fencing.
 *
 * `x-request-id` is echoed. A prefix is identified by the xxHash32 (seed 0) of the first `prefixChars` characters of the
 * prompt. The prompt of a chat consists of the contents of its messages, joined by line feeds.
 *
 * @param address - Address to listen on.
 * @param initial - Initial settings.
 * @returns The bound address and a function that stops the server.
 *
 * @example
 * const engine = await startEngine({ host: '127.0.0.1', port: 0 }, EngineSettings.parse({}))
 */
export async function startEngine (address: ListenAddress, initial: EngineSettings): Promise<RunningEngine> {
  const engine = new Engine(initial, (await xxhash()).h32)
  const { address: bound, server } = await startHttpServer(address, [
    { method: 'get', path: '/health', handler: (_request, response) => sendJson(response, { status: engine.settings.health }) },
    { method: 'get', path: '/load', handler: (_request, response) => sendJson(response, engine.getLoad()) },
    { method: 'get', path: '/record', handler: (_request, response) => sendJson(response, engine.record.convertToJson()) },
    {
      method: 'get',
      path: '/cache-events',
      handler: (request, response) => sendJson(response, { events: engine.events.list(Number(request.query.after ?? 0), performance.now()) })
    },
    {
      method: 'put',
      path: '/options',
      handler: async (request, response) => {
        const changes = parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })) as object
        engine.settings = EngineSettings.parse({ ...engine.settings, ...changes })
        sendJson(response, engine.settings)
      }
    },
    { method: 'post', path: '/commands', handler: (request, response) => engine.handleCommand(request, response) },
    { method: 'post', path: '/v1/completions', handler: (request, response) => engine.handleCompletion(request, response) },
    { method: 'post', path: '/v1/chat/completions', handler: (request, response) => engine.handleCompletion(request, response) }
  ])
  const restartable = new RestartableServer(server, bound)
  engine.onCrash = downMs => restartable.abort(downMs)
  return { address: bound, close: () => restartable.close() }
}

class Engine {
  settings: EngineSettings
  onCrash: (downMs: number) => void = () => {}
  readonly record = new EngineRecord()
  readonly events: CacheEventLog
  readonly #hash: (text: string) => number
  readonly #random: () => number
  readonly #load = new LaggingValue({ running: 0, waiting: 0 })
  readonly #cache: PrefixCache
  readonly #batch: EngineBatch
  readonly #tokenVerifier: FencingTokenVerifier
  readonly #models: Set<string>
  #role = 'both'

  constructor (settings: EngineSettings, hash: (text: string) => number) {
    this.settings = settings
    this.#hash = hash
    this.#random = createRandom(settings.seed)
    this.events = new CacheEventLog({ getFaults: () => ({ lagMs: this.settings.cacheEventLagMs, gapRate: this.settings.cacheEventGapRate }), random: this.#random })
    this.#cache = new PrefixCache(settings.prefixCacheSize, (kind, prefixHash) => this.events.append(kind, prefixHash, performance.now()))
    this.#batch = new EngineBatch({ getSpeed: () => this.settings, onChange: load => this.#load.set(load, performance.now()) })
    this.#tokenVerifier = new FencingTokenVerifier(settings.isFencingChecked)
    this.#models = new Set(settings.models)
  }

  getLoad (): { running: number, waiting: number } {
    return this.#load.get(performance.now(), this.settings.loadLagMs)
  }

  async handleCompletion (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parsed = CompletionRequest.safeParse(parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })))
    const requestId = request.headers['x-request-id']
    if (requestId !== undefined) response.setHeader('x-request-id', requestId)
    if (!parsed.success) return sendJson(response, { error: { message: parsed.error.message } }, 400)
    const body = parsed.data
    if (this.#models.size > 0 && !this.#models.has(body.model)) return sendJson(response, { error: { message: `The model ${body.model} is not loaded.` } }, 404)
    const prompt = body.messages.length > 0 ? body.messages.map(({ content }) => content).join('\n') : body.prompt
    this.#run(response, body, { prompt, path: request.url ?? '/', requestId: requestId === undefined ? null : String(requestId) })
  }

  async handleCommand (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parsed = TargetCommand.safeParse(parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })))
    if (!parsed.success) return sendJson(response, { error: { message: parsed.error.message } }, 400)
    const { action, fencingToken } = parsed.data
    const isAccepted = this.#tokenVerifier.accept(fencingToken)
    this.record.addCommand({ ...parsed.data, isAccepted, atMs: Date.now() })
    if (!isAccepted) return sendJson(response, { status: 'refused', highestToken: this.#tokenVerifier.highestToken }, 409)
    await new Promise(resolve => setTimeout(resolve, this.settings.commandMs))
    if (action.kind === 'change-role') this.#role = action.role
    else this.#models.add(action.name)
    sendJson(response, { status: 'done', role: this.#role, models: [...this.#models] })
  }

  #run (response: ServerResponse, body: CompletionRequest, call: { prompt: string, path: string, requestId: string | null }): void {
    const promptHash = this.#hash(call.prompt)
    const prefix = call.prompt.slice(0, this.settings.prefixChars)
    const prefixHash = this.#hash(prefix)
    const isPrefixCached = this.#cache.add(prefixHash)
    const promptTokens = Math.ceil(call.prompt.length / CHARS_PER_TOKEN)
    const cachedTokens = isPrefixCached ? Math.ceil(prefix.length / CHARS_PER_TOKEN) : 0
    const tokens = Math.max(0, body.max_tokens - body.resume_from)
    const { path, requestId } = call
    const entry = this.record.addRequest({ requestId, path, model: body.model, promptHash, prefixHash, isPrefixCached, resumeFrom: body.resume_from, tokens, status: 'waiting-or-running', atMs: Date.now() })
    const format = createCompletionFormat(body, { isChat: path.startsWith('/v1/chat'), id: `cmpl-${promptHash.toString(36)}`, promptTokens })
    const truncateAt = this.#chooseTruncation(body.stream, tokens)
    let text = ''
    const cancel = this.#batch.add({
      prefillMs: this.settings.firstTokenMs + this.settings.prefillTokenMs * (promptTokens - cachedTokens),
      tokens,
      onToken: step => {
        if (step === 0 && this.settings.crashPrefixes.includes(prefixHash)) {
          entry.status = 'crashed'
          return this.#abort()
        }
        const index = body.resume_from + step
        const token = createToken(promptHash, index)
        if (!body.stream) text += token
        else if (step === truncateAt) {
          entry.status = 'truncated'
          cancel()
          this.#truncate(response)
        } else {
          if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream' })
          response.write(`data: ${JSON.stringify(format.createChunk(token, index))}\n\n`)
        }
      },
      onEnd: () => {
        entry.status = 'complete'
        if (!body.stream) return sendJson(response, format.createResponse(text))
        if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream' })
        response.end(`data: ${JSON.stringify(format.createLastChunk())}\n\ndata: [DONE]\n\n`)
      }
    })
    response.on('close', () => {
      if (entry.status !== 'waiting-or-running') return
      entry.status = 'cancelled'
      cancel()
    })
  }

  #abort (): void {
    this.#batch.clear()
    this.#cache.clear()
    this.onCrash(this.settings.crashMs)
  }

  /** Returns the step at which the stream is truncated, or undefined if it is not truncated. */
  #chooseTruncation (isStream: boolean, tokens: number): number | undefined {
    if (!isStream || this.settings.truncateRate === 0 || this.#random() >= this.settings.truncateRate) return undefined
    return Math.floor(this.#random() * tokens)
  }

  #truncate (response: ServerResponse): void {
    if (this.settings.truncateBy === 'end') response.end()
    else response.socket?.resetAndDestroy()
  }
}
