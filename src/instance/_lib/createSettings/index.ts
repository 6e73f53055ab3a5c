import { ObserverTable } from '../../../configuration/ObserverTable'
import type { LogSource } from '../../../configuration/LogSource'
import { SettingsFollower } from '../../../configuration/SettingsFollower'
import { SettingsRelay } from '../../../configuration/SettingsRelay'
import { SettingsTree } from '../../../configuration/SettingsTree'
import { SettingsView } from '../../../configuration/SettingsView'
import type { RouterSettings } from '../../../contract/RouterSettings'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import { LinkClient } from '../../../link/LinkClient'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { MessageHandlers } from '../../../link/MessageHandlers'
import { createObserverHandlers } from '../createObserverHandlers'
import { OBSERVER_LIVE_MS } from '../OBSERVER_LIVE_MS'

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
export function createSettings (settings: RouterSettings, lifecycle: LifecycleManager): RunningSettings {
  const tree = new SettingsTree()
  const view = new SettingsView()
  const relay = new SettingsRelay(tree)
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
  const control: LinkClient[] = []
  const zoneSources: LogSource[] = []
  const follower = new SettingsFollower({ tree, view, relay, observers, listSources: () => listSources(settings, zoneSources, control) })
  const handlers = createObserverHandlers(observers, request => relay.fetch(request), () => follower.scheduleReport())
  const start = (options: LinkOptions): void => {
    control.push(...settings.control.map(address => new LinkClient(address, options)))
    const peers = settings.routers.filter(peer => peer.zone === settings.zone && peer.instance !== settings.instance)
    const clients = peers.map(peer => new LinkClient(peer, options))
    zoneSources.push(...clients.map((client, index) => createSource(peers[index].instance, client)))
    lifecycle.register('settings links', () => [...control, ...clients].forEach(client => client.close()))
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

/**
 * The router of the zone with the first name fetches from control and is the relay of the others; so control serves
 * one router for each availability zone. Routers that sort after this one are asked last: they fetch from this one.
 */
function listSources (settings: RouterSettings, zoneSources: LogSource[], control: LinkClient[]): LogSource[] {
  const sorted = [...zoneSources].sort((a, b) => a.name < b.name ? -1 : 1)
  const before = sorted.filter(source => source.name < settings.instance)
  const after = sorted.filter(source => source.name > settings.instance)
  const replicas = control.map((client, index) => createSource(settings.control[index].instance, client))
  const start = countInitialReplica(settings, replicas.length)
  return [...before, ...replicas.slice(start), ...replicas.slice(0, start), ...after]
}

/** The replica of the router's own availability zone is asked first. */
function countInitialReplica (settings: RouterSettings, count: number): number {
  const own = settings.control.findIndex(peer => peer.zone === settings.zone)
  return own < 0 || own >= count ? 0 : own
}
