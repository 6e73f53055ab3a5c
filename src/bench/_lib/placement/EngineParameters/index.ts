/** Performance model of an engine, as far as the users' documentation describes it. */
export interface EngineParameters {
  /** Maximum number of requests that the engine runs at once. */
  slots: number
  /** Tokens of prompt parts that the engine can keep in its cache. */
  memoryTokens: number
  /** Fixed part of the duration of a step. */
  stepMs: number
  /** Added to the duration of a step for each 1,000 context tokens of the generating requests. */
  contextMsPerThousandTokens: number
  /** Rate at which a step processes prompt tokens. */
  prefillTokensPerMs: number
  /** Added to the duration of a step for each million pairs of a new prompt token and an earlier token. */
  attentionMsPerMillionPairs: number
  /** Maximum number of prompt tokens that a step processes, over all requests. */
  prefillChunkTokens: number
  /** Delay from the end of a step until the caller receives the event or the end of its response. */
  eventDelayMs: number
  /** Generated tokens in one event of a streamed response. */
  tokensPerEvent: number
}
