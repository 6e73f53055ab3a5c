/**
 * @name IndexedHeap
 * @category Schedule
 * @summary Binary heap whose entries can be changed and removed by key.
 *
 * @description
 * The entry with the lowest priority comes first. Equal priorities come in the order in which they were set. `set`,
 * `remove` and `take` need time logarithmic in the size; `peek` needs constant time.
 *
 * @example
 * const heap = new IndexedHeap<string>()
 * heap.set('a', 2)
 * heap.set('b', 1)
 * heap.take() // 'b'
 */
export class IndexedHeap<K> {
  readonly #keys: K[] = []
  readonly #priorities: number[] = []
  readonly #sequences: number[] = []
  readonly #positions = new Map<K, number>()
  #nextSequence = 0

  get size (): number {
    return this.#keys.length
  }

  has (key: K): boolean {
    return this.#positions.has(key)
  }

  peek (): K | undefined {
    return this.#keys[0]
  }

  getPriority (key: K): number | undefined {
    const position = this.#positions.get(key)
    return position === undefined ? undefined : this.#priorities[position]
  }

  set (key: K, priority: number): void {
    const position = this.#positions.get(key)
    if (position !== undefined && this.#priorities[position] === priority) return
    const at = position ?? this.#keys.length
    this.#setAt(at, key, priority, this.#nextSequence++)
    this.#moveUp(at)
    this.#moveDown(this.#positions.get(key)!)
  }

  remove (key: K): boolean {
    const position = this.#positions.get(key)
    if (position === undefined) return false
    const last = this.#keys.length - 1
    if (position !== last) this.#swap(position, last)
    this.#keys.pop()
    this.#priorities.pop()
    this.#sequences.pop()
    this.#positions.delete(key)
    if (position !== last) {
      this.#moveUp(position)
      this.#moveDown(position)
    }
    return true
  }

  take (): K | undefined {
    const key = this.#keys[0]
    if (this.#keys.length > 0) this.remove(key)
    return key
  }

  /** All keys in the order of the heap's array, which is not sorted. */
  list (): readonly K[] {
    return this.#keys
  }

  #setAt (position: number, key: K, priority: number, sequence: number): void {
    this.#keys[position] = key
    this.#priorities[position] = priority
    this.#sequences[position] = sequence
    this.#positions.set(key, position)
  }

  #isBefore (a: number, b: number): boolean {
    const difference = this.#priorities[a] - this.#priorities[b]
    return difference < 0 || (difference === 0 && this.#sequences[a] < this.#sequences[b])
  }

  #swap (a: number, b: number): void {
    const [key, priority, sequence] = [this.#keys[a], this.#priorities[a], this.#sequences[a]]
    this.#setAt(a, this.#keys[b], this.#priorities[b], this.#sequences[b])
    this.#setAt(b, key, priority, sequence)
  }

  #moveUp (start: number): void {
    let position = start
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!this.#isBefore(position, parent)) return
      this.#swap(position, parent)
      position = parent
    }
  }

  #moveDown (start: number): void {
    let position = start
    for (;;) {
      let first = position
      const left = 2 * position + 1
      if (left < this.#keys.length && this.#isBefore(left, first)) first = left
      if (left + 1 < this.#keys.length && this.#isBefore(left + 1, first)) first = left + 1
      if (first === position) return
      this.#swap(position, first)
      position = first
    }
  }
}
