/** A quantity that was measured at several sizes and is extrapolated by a line. */
export interface Slope {
  role: 'router' | 'zone scheduler' | 'relay' | 'control replica'
  quantity: string
  unit: string
  /** What the quantity depends on. */
  per: string
  points: Array<[x: number, y: number]>
  /** Value of `per` at the size of two years. */
  atSize: number
}
