import { build, type Histogram } from 'hdr-histogram-js'

const HIGHEST_US = 3_600_000_000

/** Creates a histogram of durations in microseconds with three significant digits. */
export function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 })
}
