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
  /** Reports whether new work may go to the target. */
  isTargetOpen: (target: string) => boolean
}

/**
 * @name CallDispatcher
 * @category Target
 * @summary Runs a call on a target, and on another one if that is safe.
 *
 * @description
 * An attempt whose bytes were not sent may be repeated for every call, one that may have run only for an idempotent
 * call. Both use the retry budget. Targets with an open circuit and targets that closed while the call waited for its
 * slot are passed over without a retry.
 *
 * @param options - Admission, client of the targets, count of running work, drain state.
 *
 * @example
 * const answer = await dispatcher.dispatch(call)
 */
export class CallDispatcher {
  readonly #options: CallDispatcherOptions
  readonly #breaker = new CircuitBreaker()
  readonly #budget = new RetryBudget()

  constructor (options: CallDispatcherOptions) {
    this.#options = options
  }

  /**
   * @param call - The call.
   * @param failedTargets - Targets where an earlier part of the call failed.
   * @throws AppError of the last attempt. Its outcome is `not-run` only if no attempt sent a byte.
   */
  async dispatch (call: TargetCall, failedTargets: readonly string[] = []): Promise<InFlightResponse> {
    const excluded = new Set(failedTargets)
    let failure: AppError | undefined
    this.#budget.recordRequest()
    while (true) {
      const slot = await this.#admit(call, { excluded, failure })
      const attempt = await this.#tryRun(call, slot)
      if ('answer' in attempt) return attempt.answer
      excluded.add(slot.target)
      if (!attempt.error) continue
      failure = failure?.outcome === 'unknown' ? convertToUnknown(attempt.error) : attempt.error
      if (!this.#tryRetry(call, attempt.error)) throw failure
    }
  }

  /** Takes one retry of the budget, for a call that goes on after its answer has begun. */
  tryTakeRetry (): boolean {
    return this.#budget.tryTake()
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

  /** No error in the result means that the target was passed over. */
  async #tryRun (call: TargetCall, slot: Slot): Promise<{ answer: InFlightResponse } | { error?: AppError }> {
    const { isTargetOpen, running, targets } = this.#options
    if (!isTargetOpen(slot.target) || !this.#breaker.tryAcquire(slot.target, performance.now())) {
      slot.release({ cost: 0, isHealthy: true })
      return {}
    }
    running.add(slot.target)
    const hop = call.trace.startHop('dispatch', { target: slot.target })
    try {
      const { method, path, body, signal, deadlineAtMs, confirmSend, isCompletion } = call
      const headers = { ...call.headers, ...call.trace.traceHeaders }
      const response = await targets.dispatch({ url: slot.url, method, path, headers, body, signal, answerDeadlineAtMs: deadlineAtMs, confirmSend, hasFinalEvent: isCompletion })
      hop.stop()
      return { answer: this.#createAnswer(slot, response) }
    } catch (thrown) {
      const error = convertToAppError(thrown)
      hop.stop(error)
      const cost = error.outcome === 'not-run' ? 0 : call.estimate
      this.#releaseFailed(slot, { cost, isHealthy: isFaultOfOthers(error) })
      return { error }
    }
  }

  #createAnswer (slot: Slot, response: TargetResponse): InFlightResponse {
    return {
      target: slot.target,
      response,
      charge: cost => slot.charge(cost),
      settle: cost => {
        this.#breaker.recordSuccess(slot.target)
        this.#release(slot, { cost, isHealthy: true })
      },
      fail: result => this.#releaseFailed(slot, result)
    }
  }

  #releaseFailed (slot: Slot, result: { cost: number, isHealthy: boolean }): void {
    if (result.isHealthy) this.#breaker.releaseProbe(slot.target)
    else this.#breaker.recordFailure(slot.target, performance.now())
    this.#release(slot, result)
  }

  #release (slot: Slot, result: { cost: number, isHealthy: boolean }): void {
    this.#options.running.remove(slot.target)
    slot.release(result)
  }

  #tryRetry (call: TargetCall, error: AppError): boolean {
    if (isFaultOfOthers(error) || call.signal.aborted || performance.now() >= call.deadlineAtMs) return false
    return (error.outcome === 'not-run' || call.isIdempotent) && this.#budget.tryTake()
  }
}

/** Failures that say nothing about the target. */
function isFaultOfOthers (error: AppError): boolean {
  return error.kind === 'caller-gone' || error.kind === 'control-unavailable'
}

function convertToUnknown (error: AppError): AppError {
  return new AppError(error.kind, error.message, { cause: error, outcome: 'unknown' })
}
