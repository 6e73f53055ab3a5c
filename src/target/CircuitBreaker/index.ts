interface Circuit {
  /** Consecutive failures. */
  failures: number
  openUntilMs: number
  /** Whether a probe request is in flight. */
  isProbing: boolean
}

const FAILURE_THRESHOLD = 3
const OPEN_DURATION_MS = 2_000

/**
 * @name CircuitBreaker
 * @category Target
 * @summary Stops requests to targets that fail repeatedly.
 *
 * @description
 * The circuit of a target opens after three consecutive failures. After two seconds it is half-open: one request may
 * probe the target. Its success closes the circuit, its failure reopens it. Times are milliseconds of a monotonic
 * clock.
 *
 * @example
 * if (breaker.tryAcquire('runner-1', performance.now())) breaker.recordSuccess('runner-1')
 */
export class CircuitBreaker {
  readonly #circuits = new Map<string, Circuit>()

  /**
   * Admits one request to the target unless the circuit is open or a probe is in flight. After a true result, the
   * caller must call `recordSuccess`, `recordFailure` or `releaseProbe`.
   */
  tryAcquire (target: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(target)
    if (!circuit || circuit.failures < FAILURE_THRESHOLD) return true
    if (circuit.isProbing || nowMs < circuit.openUntilMs) return false
    circuit.isProbing = true
    return true
  }

  /**
   * Whether the circuit is closed or half-open. Starts no probe, so `tryAcquire` may still refuse while one is in flight.
   */
  isNotOpen (target: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(target)
    return !circuit || circuit.failures < FAILURE_THRESHOLD || nowMs >= circuit.openUntilMs
  }

  /** Opens the circuit at once, for a target that is unreachable. */
  open (target: string, nowMs: number): void {
    this.#circuits.set(target, { failures: FAILURE_THRESHOLD, openUntilMs: nowMs + OPEN_DURATION_MS, isProbing: false })
  }

  recordSuccess (target: string): void {
    this.#circuits.delete(target)
  }

  recordFailure (target: string, nowMs: number): void {
    const circuit = this.#circuits.get(target) ?? { failures: 0, openUntilMs: 0, isProbing: false }
    circuit.failures++
    circuit.openUntilMs = nowMs + OPEN_DURATION_MS
    circuit.isProbing = false
    this.#circuits.set(target, circuit)
  }

  /** Ends a probe without a result for the target, for example because its caller disconnected. */
  releaseProbe (target: string): void {
    const circuit = this.#circuits.get(target)
    if (circuit) circuit.isProbing = false
  }
}
