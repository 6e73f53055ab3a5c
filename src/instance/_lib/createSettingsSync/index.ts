import { ObserverTable } from '../../../configuration/ObserverTable'
import type { LogSource } from '../../../configuration/LogSource'
import { SettingsFollower } from '../../../configuration/SettingsFollower'
import { SettingsRelay } from '../../../configuration/SettingsRelay'
import { SettingsTree } from '../../../configuration/SettingsTree'
import { SettingsView } from '../../../configuration/SettingsView'
import type { RouterSettings } from '../../../contract/RouterSettings'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import { LinkClient } from '../../../link/LinkClient'
import { LinkPool } from '../../../link/LinkPool'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { MessageHandlers } from '../../../link/MessageHandlers'
import type { PeerDirectory } from '../../../membership/PeerDirectory'
import { createObserverHandlers } from '../createObserverHandlers'
import { OBSERVER_TIMEOUT_MS } from '../OBSERVER_TIMEOUT_MS'

interface CreateSettingsSyncOptions {
  settings: RouterSettings
  directory: PeerDirectory
  lifecycle: LifecycleManager
}

interface SettingsSync {
  view: SettingsView
  /** Clients of the control replicas; empty until `start` is called. */
  control: LinkClient[]
  /** Message handlers that make the router a relay of the settings. */
  handlers: MessageHandlers
  /** Time in milliseconds since a control replica confirmed the settings. */
  getAge: () => number
  start: (options: LinkOptions) => void
}

/** Keeps the router's settings up to date, and relays them to other routers of its availability zone. */
export function createSettingsSync ({ settings, directory, lifecycle }: CreateSettingsSyncOptions): SettingsSync {
  const tree = new SettingsTree()
  const view = new SettingsView()
  const relay = new SettingsRelay(tree)
  const observers = new ObserverTable({ liveMs: OBSERVER_TIMEOUT_MS })
  const control: LinkClient[] = []
  let sources: LogSource[] = []
  const follower = new SettingsFollower({ tree, view, relay, observers, listSources: () => sources })
  const handlers = createObserverHandlers(observers, request => relay.fetch(request), () => follower.scheduleReport())
  const start = (options: LinkOptions): void => {
    control.push(...settings.control.map(address => new LinkClient(address, options)))
    const replicas = orderReplicas(settings, control)
    const pool = new LinkPool(options)
    lifecycle.register('settings links', () => {
      control.forEach(client => client.close())
      pool.close()
    })
    directory.subscribe(peers => {
      pool.update(peers.filter(peer => peer.zone === settings.zone))
      sources = orderSources(settings.instance, replicas, pool)
    })
    follower.start()
    lifecycle.register('settings follower', () => follower.stop())
  }
  return { view, control, handlers, getAge: () => relay.getAge(performance.now()), start }
}

function createSource (name: string, client: LinkClient): LogSource {
  return {
    name,
    request: (type, body, options) => client.request(type, body, options),
    send: (type, body) => client.send(type, body)
  }
}

/** Orders the control replicas, starting with the first one in the router's own availability zone. */
function orderReplicas (settings: RouterSettings, control: LinkClient[]): LogSource[] {
  const replicas = control.map((client, index) => createSource(settings.control[index].instance, client))
  const ownZoneIndex = Math.max(0, settings.control.findIndex(peer => peer.zone === settings.zone))
  return [...replicas.slice(ownZoneIndex), ...replicas.slice(0, ownZoneIndex)]
}

/**
 * Orders the sources of the settings. The router whose name sorts first in the zone fetches from control and relays to
 * the others, so control serves one router per availability zone. Routers that sort after this one come last, because
 * they fetch from this one.
 */
function orderSources (self: string, replicas: LogSource[], pool: LinkPool): LogSource[] {
  const zoneRouters = pool.list().map(({ peer, client }) => createSource(peer.instance, client)).sort((a, b) => a.name < b.name ? -1 : 1)
  const before = zoneRouters.filter(source => source.name < self)
  const after = zoneRouters.filter(source => source.name > self)
  return [...before, ...replicas, ...after]
}
