/** What an engine of the users' sheets does, as far as their pages tell. */
export interface EngineRates {
  slots: number
  memoryTokens: number
  stepMs: number
  contextMsPerThousand: number
  readTokensPerMs: number
  pairMsPerMillion: number
  chunkTokens: number
  firstMs: number
  tokensPerEvent: number
}
