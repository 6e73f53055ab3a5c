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
import { OBSERVER_LIVE_MS } from '../OBSERVER_LIVE_MS'

interface CreateSettingsOptions {
  settings: RouterSettings
  directory: PeerDirectory
  lifecycle: LifecycleManager
}

interface RunningSettings {
  view: SettingsView
  control: LinkClient[]
  /** Handlers that the router's link server needs to act as a relay. */
  handlers: MessageHandlers
  /** Milliseconds since a control replica confirmed the settings. */
  getAge: () => number
  start: (options: LinkOptions) => void
}

/** Keeps the router's settings up to date, and serves them to other routers of its availability zone. */
export function createSettings ({ settings, directory, lifecycle }: CreateSettingsOptions): RunningSettings {
  const tree = new SettingsTree()
  const view = new SettingsView()
  const relay = new SettingsRelay(tree)
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
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

/** The replica of the router's own availability zone is asked first. */
function orderReplicas (settings: RouterSettings, control: LinkClient[]): LogSource[] {
  const replicas = control.map((client, index) => createSource(settings.control[index].instance, client))
  const own = Math.max(0, settings.control.findIndex(peer => peer.zone === settings.zone))
  return [...replicas.slice(own), ...replicas.slice(0, own)]
}

/**
 * The router of the zone with the first name fetches from control and is the relay of the others; so control serves
 * one router for each availability zone. Routers that sort after this one are asked last: they fetch from this one.
 */
function orderSources (self: string, replicas: LogSource[], pool: LinkPool): LogSource[] {
  const neighbours = pool.list().map(({ peer, client }) => createSource(peer.instance, client)).sort((a, b) => a.name < b.name ? -1 : 1)
  const before = neighbours.filter(source => source.name < self)
  const after = neighbours.filter(source => source.name > self)
  return [...before, ...replicas, ...after]
}
