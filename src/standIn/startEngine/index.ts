import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import PQueue from 'p-queue'
import { z } from 'zod'
import type { ListenAddress } from '../../contract/ListenAddress'
import { parseJsonBody } from '../../instance/parseJsonBody'
import { readBody } from '../../instance/readBody'
import { startHttpServer } from '../../instance/startHttpServer'
import type { EngineSettings } from '../EngineSettings'

const MAX_BODY_BYTES = 4 * 1024 * 1024
const DEFAULT_MAX_TOKENS = 16
const CompletionRequest = z.object({ model: z.string(), stream: z.boolean().default(false), max_tokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS), resume_from: z.number().int().nonnegative().default(0) })

interface RunningEngine {
  address: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startEngine
 * @category Stand-in
 * @summary Stand-in of an inference engine with an OpenAI-compatible completions API.
 *
 * @param address - Where to listen.
 * @param settings - Behaviour.
 * @returns The bound address and a function that stops it.
 *
 * @example
 * const engine = await startEngine({ host: '127.0.0.1', port: 0 }, EngineSettings.parse({}))
 */
export async function startEngine (address: ListenAddress, settings: EngineSettings): Promise<RunningEngine> {
  const batch = new PQueue({ concurrency: settings.maxBatch })
  const handleCompletion = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = CompletionRequest.parse(parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })))
    await batch.add(() => sendCompletion(response, body, settings))
  }
  const { address: bound, server } = await startHttpServer(address, [
    { method: 'get', path: '/health', handler: (_request, response) => { response.end('{"status":"ok"}') } },
    { method: 'get', path: '/load', handler: (_request, response) => { response.end(JSON.stringify({ running: batch.pending, waiting: batch.size })) } },
    { method: 'post', path: '/v1/completions', handler: handleCompletion },
    { method: 'post', path: '/v1/chat/completions', handler: handleCompletion }
  ])
  const close = (): Promise<void> => new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
  return { address: bound, close }
}

async function sendCompletion (response: ServerResponse, body: z.infer<typeof CompletionRequest>, settings: EngineSettings): Promise<void> {
  await wait(settings.firstTokenMs)
  const usage = { completion_tokens: body.max_tokens }
  if (!body.stream) {
    await wait(settings.tokenMs * body.max_tokens)
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ model: body.model, choices: [{ index: 0, text: 'token '.repeat(body.max_tokens), finish_reason: 'stop' }], usage }))
    return
  }
  response.setHeader('content-type', 'text/event-stream')
  for (let index = body.resume_from; index < body.max_tokens && !response.destroyed; index++) {
    response.write(`data: ${JSON.stringify({ model: body.model, choices: [{ index: 0, text: `token${index} ` }] })}\n\n`)
    await wait(settings.tokenMs)
  }
  response.end(`data: ${JSON.stringify({ model: body.model, choices: [], usage })}\n\ndata: [DONE]\n\n`)
}
