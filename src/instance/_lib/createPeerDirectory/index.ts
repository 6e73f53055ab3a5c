import type { PlatformInstance } from '../../../contract/PlatformInstance'
import type { RouterSettings } from '../../../contract/RouterSettings'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import { PeerDirectory } from '../../../membership/PeerDirectory'
import { PlatformListPoller } from '../../../membership/PlatformListPoller'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'

/** Directory of the other routers. It is updated from the platform's list of instances if the settings have its URL. */
export function createPeerDirectory (settings: RouterSettings, logger: ComponentLogger, lifecycle: LifecycleManager, onList: (instances: PlatformInstance[]) => void = () => {}): PeerDirectory {
  const directory = new PeerDirectory({ self: settings.instance, initial: settings.routers })
  if (!settings.membershipUrl) return directory
  const poller = new PlatformListPoller({
    url: settings.membershipUrl,
    onList: instances => {
      directory.update(instances)
      onList(instances)
    },
    onError: error => logger.warn('The platform list is not available.', { reason: String(error) })
  })
  poller.start()
  lifecycle.register('platform list', () => poller.stop())
  return directory
}
