interface StandInOptions {
  name: string
  zone: string
  /** Service that the target serves. */
  service: string
  slots?: number
  /** Simulated behaviour, passed to `papayalead stand-in` as JSON. */
  options?: object
}

/** Options of `startFleet`. */
export interface FleetOptions {
  /** Availability zones, over which the routers and the control replicas are spread. Default: `['z1']`. */
  zones?: string[]
  routersPerZone?: number
  controls?: number
  engines?: StandInOptions[]
  bookings?: StandInOptions[]
  /** Accounts of team `t`; the key of account `a` is `key-a`. */
  accounts?: Record<string, object>
  /** Additional settings by path. */
  settings?: Record<string, unknown>
  /** Routes each link and each target through a fault proxy. Default: true. */
  hasProxies?: boolean
  /** Additional process settings for each router. */
  router?: object
  /** Additional process settings for each control replica. */
  control?: object
  /** Node.js flags for each router. */
  routerNodeFlags?: string[]
  /** Directory for one log file per process. Without it the processes log to the test's standard error. */
  logDirectory?: string
}
