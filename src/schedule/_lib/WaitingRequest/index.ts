import type { AdmissionRequest } from '../../AdmissionRequest'
import type { GrantOperation } from '../../GrantOperation'

/** A request in the queue of a router. */
export interface WaitingRequest {
  id: string
  request: AdmissionRequest
  /** Set when a grant is matched to the request. */
  grant?: GrantOperation
}
