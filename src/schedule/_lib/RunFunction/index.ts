/** What p-queue puts into its queue; it starts one job. */
export type RunFunction = () => Promise<unknown>
