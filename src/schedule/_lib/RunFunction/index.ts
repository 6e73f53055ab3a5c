/** Function that p-queue enqueues. Calling it starts one job. */
export type RunFunction = () => Promise<unknown>
