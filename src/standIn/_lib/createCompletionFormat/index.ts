import type { CompletionRequest } from '../CompletionRequest'

interface CompletionFormat {
  /** Event of the stream with one token. */
  createChunk: (token: string, index: number) => object
  /** Last event of the stream before `[DONE]`, with the token usage. */
  createLastChunk: () => object
  /** Response to a call that is not streamed. */
  createResponse: (text: string) => object
}

/** Returns functions that create the response objects of the OpenAI API for a completion or a chat completion. */
export function createCompletionFormat (body: CompletionRequest, options: { isChat: boolean, id: string, promptTokens: number }): CompletionFormat {
  const { isChat, id, promptTokens } = options
  const usage = { prompt_tokens: promptTokens, completion_tokens: body.max_tokens, total_tokens: promptTokens + body.max_tokens }
  const head = { id, model: body.model }
  const chunkObject = isChat ? 'chat.completion.chunk' : 'text_completion'
  return {
    createChunk: (token, index) => {
      const delta = index === 0 ? { role: 'assistant', content: token } : { content: token }
      const content = isChat ? { delta } : { text: token }
      return { ...head, object: chunkObject, choices: [{ index: 0, ...content, finish_reason: index === body.max_tokens - 1 ? 'stop' : null }] }
    },
    createLastChunk: () => ({ ...head, object: chunkObject, choices: [], usage }),
    createResponse: text => {
      const content = isChat ? { message: { role: 'assistant', content: text } } : { text }
      return { ...head, object: isChat ? 'chat.completion' : 'text_completion', choices: [{ index: 0, ...content, finish_reason: 'stop' }], usage }
    }
  }
}
