import type { FleetStatus } from '../../contract/FleetStatus'
import { Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderTable } from '../renderTable'

/** `papayalead status`: shows the status of the fleet. */
export class StatusCommand extends OperatorCommand {
  static override id = 'status'
  static override description = 'Show instances, targets, the quorum of the settings log and client accounts.'
  static override flags = { local: Flags.boolean({ description: 'show the local state of the control instance, also if no leader is known' }) }
  static override examples = ['<%= config.bin %> status']

  async run (): Promise<void> {
    const { flags } = await this.parse(StatusCommand)
    const query = { consistency: flags.local ? 'local' : undefined }
    await this.runRequest<FleetStatus>(flags, { method: 'GET', path: '/v1/status', query }, renderStatus)
  }
}

function renderStatus (status: FleetStatus): string {
  const { quorum, instances, targets, accounts } = status
  const parts = [
    `Answered by ${status.answeredBy} (${quorum.role}). Settings log: leader ${quorum.leader ?? 'unknown'}, term ${quorum.term}, offset ${quorum.commitOffset}.`,
    renderTable(['REPLICA', 'VOTER', 'LAG'], quorum.replicas.map(({ instance, isVoter, lag }) => [instance, isVoter ? 'yes' : 'no', lag ?? '?'])),
    renderTable(['ROUTER', 'ZONE', 'READY', 'OFFSET', 'WAITING', 'RUNNING', 'REPORTED'], instances.map(router => [router.instance, router.zone, router.isReady ? 'yes' : 'no', router.offset, router.waiting, router.running, `${router.ageMs} ms ago`])),
    renderTable(['TARGET', 'SERVICE', 'ZONE', 'RUNNING', 'SLOTS', 'STATE'], targets.map(target => [target.target, target.service, target.zone, target.running, target.slots, target.state])),
    renderTable(['ACCOUNT', 'WEIGHT', 'WAITING', 'RUNNING'], accounts.map(({ account, weight, waiting, running }) => [account, weight, waiting, running]))
  ]
  if (!status.isSettled) parts.push('The control instance has just started; routers may be missing here.')
  return parts.join('\n\n')
}
