import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { AdmissionGate } from '../../schedule/AdmissionGate'
import type { Slot } from '../../schedule/Slot'
import { CircuitBreaker } from '../CircuitBreaker'
import { RetryBudget } from '../RetryBudget'
import type { InFlightResponse } from '../InFlightResponse'
import type { InFlightRequests } from '../InFlightRequests'
import type { TargetCall } from '../TargetCall'
import type { TargetClient } from '../TargetClient'
import type { TargetResponse } from '../TargetResponse'

interface CallDispatcherOptions {
  gate: AdmissionGate
  targets: Pick<TargetClient, 'dispatch'>
  running: InFlightRequests
  /** Whether the target accepts new work. */
  isTargetOpen: (target: string) => boolean
}

/**
 * @name CallDispatcher
 * @category Target
 * @summary Runs a call on a target and retries it on another one where that is safe.
 *
 * @description
 * An attempt of which no byte was sent may be retried for every call. An attempt that may have run is retried only if
 * the call is idempotent. Each retry is charged to the retry budget. Targets with an open circuit, and targets that
 * stopped accepting work while the call waited for its slot, are skipped; a skip is not charged.
 *
 * @param options - Admission gate, client of the targets, in-flight requests, drain state.
 *
 * @example
 * const inFlight = await dispatcher.dispatch(call)
 */
export class CallDispatcher {
  readonly #options: CallDispatcherOptions
  readonly #circuitBreaker = new CircuitBreaker()
  readonly #retryBudget = new RetryBudget()

  constructor (options: CallDispatcherOptions) {
    this.#options = options
  }

  /**
   * @param call - The call.
   * @param failedTargets - Targets on which an earlier attempt of the call failed; they are not used.
   * @throws AppError of the last attempt. Its outcome is `not-run` only if no attempt sent a byte.
   */
  async dispatch (call: TargetCall, failedTargets: readonly string[] = []): Promise<InFlightResponse> {
    const excluded = new Set(failedTargets)
    let failure: AppError | undefined
    this.#retryBudget.recordRequest()
    while (true) {
      const slot = await this.#admit(call, { excluded, failure })
      const attempt = await this.#tryRun(call, slot)
      if ('inFlight' in attempt) return attempt.inFlight
      excluded.add(slot.target)
      if (!attempt.error) continue
      failure = failure?.outcome === 'unknown' ? convertToUnknownOutcome(attempt.error) : attempt.error
      if (!this.#tryAdmitRetry(call, attempt.error)) throw failure
    }
  }

  /** Takes one retry from the budget, to retry or resume a call whose response has begun; false if none is left. */
  tryTakeRetry (): boolean {
    return this.#retryBudget.tryTake()
  }

  async #admit (call: TargetCall, state: { excluded: Set<string>, failure?: AppError }): Promise<Slot> {
    const { account, service, estimate, deadlineAtMs, signal } = call
    const hop = call.trace.startHop('queue')
    try {
      return await this.#options.gate.admit({ account, service, estimate, deadlineAtMs, signal, excludedTargets: state.excluded })
    } catch (thrown) {
      throw state.failure ?? thrown
    } finally {
      hop.stop()
    }
  }

  /** A result without an error means that the target was skipped. */
  async #tryRun (call: TargetCall, slot: Slot): Promise<{ inFlight: InFlightResponse } | { error?: AppError }> {
    const { isTargetOpen, running, targets } = this.#options
    if (!isTargetOpen(slot.target) || !this.#circuitBreaker.tryAcquire(slot.target, performance.now())) {
      slot.release({ cost: 0, isHealthy: true })
      return {}
    }
    running.add(slot.target)
    const hop = call.trace.startHop('dispatch', { target: slot.target })
    try {
      const { method, path, body, signal, deadlineAtMs, confirmSend } = call
      const headers = { ...call.headers, ...call.trace.traceHeaders }
      const response = await targets.dispatch({ url: slot.url, method, path, headers, body, signal, headersDeadlineAtMs: deadlineAtMs, confirmSend })
      hop.stop()
      return { inFlight: this.#createInFlightResponse(slot, response) }
    } catch (thrown) {
      const error = convertToAppError(thrown)
      hop.stop(error)
      const cost = error.outcome === 'not-run' ? 0 : call.estimate
      this.#releaseFailed(slot, { cost, isHealthy: isUnrelatedToTarget(error) })
      return { error }
    }
  }

  #createInFlightResponse (slot: Slot, response: TargetResponse): InFlightResponse {
    return {
      target: slot.target,
      response,
      charge: cost => slot.charge(cost),
      settle: cost => {
        this.#circuitBreaker.recordSuccess(slot.target)
        this.#release(slot, { cost, isHealthy: true })
      },
      fail: result => this.#releaseFailed(slot, result)
    }
  }

  #releaseFailed (slot: Slot, result: { cost: number, isHealthy: boolean }): void {
    if (result.isHealthy) this.#circuitBreaker.releaseProbe(slot.target)
    else this.#circuitBreaker.recordFailure(slot.target, performance.now())
    this.#release(slot, result)
  }

  #release (slot: Slot, result: { cost: number, isHealthy: boolean }): void {
    this.#options.running.remove(slot.target)
    slot.release(result)
  }

  #tryAdmitRetry (call: TargetCall, error: AppError): boolean {
    if (isUnrelatedToTarget(error) || call.signal.aborted || performance.now() >= call.deadlineAtMs) return false
    return (error.outcome === 'not-run' || call.isIdempotent) && this.#retryBudget.tryTake()
  }
}

/** Whether the target did not cause the failure: the caller disconnected or control is unavailable. */
function isUnrelatedToTarget (error: AppError): boolean {
  return error.kind === 'caller-gone' || error.kind === 'control-unavailable'
}

function convertToUnknownOutcome (error: AppError): AppError {
  return new AppError(error.kind, error.message, { cause: error, outcome: 'unknown' })
}
