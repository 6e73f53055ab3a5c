/** A quantity that was measured at several sizes and is extrapolated with a linear fit. */
export interface ScalingSeries {
  role: 'router' | 'zone scheduler' | 'relay' | 'control replica'
  quantity: string
  unit: string
  /** What the quantity grows with, for example the number of accounts. */
  variable: string
  /** Measured values (y) by `variable` (x). */
  points: Array<[x: number, y: number]>
  /** Value of `variable` at the size projected after two years, to which the line is extrapolated. */
  projectedSize: number
}
