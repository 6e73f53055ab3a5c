interface RouterCounts {
  router: string
  /** Calls of the router that the scheduler counts as running. */
  tracked: number
  /** Requests at engines in the newest load report of the router. */
  reported: number
}

interface CallCountDifference {
  tracked: number
  reported: number
  /** Calls that the scheduler counts and the routers do not report, summed over the routers with too many. */
  surplus: number
  /** Calls that the routers report and the scheduler does not count, summed over the routers with too few. */
  missing: number
  /** The router with the largest difference; undefined if there is no difference. */
  worst: RouterCounts | undefined
}

/**
 * Compares the calls that the scheduler tracks with those that the routers report, router by router, so that a surplus
 * at one router does not hide calls that are missing at another.
 */
export function compareCallCounts (routers: readonly RouterCounts[]): CallCountDifference {
  const difference: CallCountDifference = { tracked: 0, reported: 0, surplus: 0, missing: 0, worst: undefined }
  let worstDifference = 0
  for (const counts of routers) {
    const { tracked, reported } = counts
    difference.tracked += tracked
    difference.reported += reported
    difference.surplus += Math.max(0, tracked - reported)
    difference.missing += Math.max(0, reported - tracked)
    if (Math.abs(tracked - reported) <= worstDifference) continue
    worstDifference = Math.abs(tracked - reported)
    difference.worst = counts
  }
  return difference
}
