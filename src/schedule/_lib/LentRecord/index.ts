/** A slot of this zone that a request of another zone uses. */
export interface LentRecord {
  id: number
  zone: string
  service: string
  account: string
  target: string
  /** Cost charged so far. */
  charged: number
}
