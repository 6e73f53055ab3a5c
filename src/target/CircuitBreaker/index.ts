interface Circuit {
  failures: number
  openUntilMs: number
  isProbing: boolean
}

const FAILURES_TO_OPEN = 3
const OPEN_MS = 2_000

/**
 * @name CircuitBreaker
 * @category Target
 * @summary Keeps requests away from targets that fail.
 *
 * @description
 * The circuit of a target opens after three failures in a row. After two seconds one request may probe the target
 * (half-open): its success closes the circuit, its failure opens it again. Times are milliseconds of a monotonic clock.
 *
 * @example
 * if (breaker.tryAcquire('runner-1', performance.now())) breaker.recordSuccess('runner-1')
 */
export class CircuitBreaker {
  readonly #circuits = new Map<string, Circuit>()

  /** Reports whether a request may go to the target. Each true must be followed by a record or by `releaseProbe`. */
  tryAcquire (target: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(target)
    if (!circuit || circuit.failures < FAILURES_TO_OPEN) return true
    if (circuit.isProbing || nowMs < circuit.openUntilMs) return false
    circuit.isProbing = true
    return true
  }

  /** Whether requests go to the target without a probe; a probe may be due. */
  isClosed (target: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(target)
    return !circuit || circuit.failures < FAILURES_TO_OPEN || nowMs >= circuit.openUntilMs
  }

  /** Opens the circuit at once: the target can't be reached. */
  open (target: string, nowMs: number): void {
    this.#circuits.set(target, { failures: FAILURES_TO_OPEN, openUntilMs: nowMs + OPEN_MS, isProbing: false })
  }

  recordSuccess (target: string): void {
    this.#circuits.delete(target)
  }

  recordFailure (target: string, nowMs: number): void {
    const circuit = this.#circuits.get(target) ?? { failures: 0, openUntilMs: 0, isProbing: false }
    circuit.failures++
    circuit.openUntilMs = nowMs + OPEN_MS
    circuit.isProbing = false
    this.#circuits.set(target, circuit)
  }

  /** Ends a probe that says nothing about the target, for example because its caller left. */
  releaseProbe (target: string): void {
    const circuit = this.#circuits.get(target)
    if (circuit) circuit.isProbing = false
  }
}
