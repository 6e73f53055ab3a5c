interface StandInOptions {
  name: string
  zone: string
  /** Service that the target belongs to. */
  service: string
  slots?: number
  /** Behaviour, passed to `papayalead stand-in` as JSON. */
  options?: object
}

/** What `startFleet` starts. */
export interface FleetOptions {
  /** Availability zones; the control replicas are spread over them. Default: `['z1']`. */
  zones?: string[]
  routersPerZone?: number
  controls?: number
  engines?: StandInOptions[]
  bookings?: StandInOptions[]
  /** Accounts of team `t`; the key of account `a` is `key-a`. */
  accounts?: Record<string, object>
  /** More settings by path. */
  settings?: Record<string, unknown>
  /** Puts a fault proxy before each link and each target. Default: true. */
  hasProxies?: boolean
  /** More process settings for each router and each control replica. */
  router?: object
  control?: object
  /** Flags of node for each router. */
  routerNodeFlags?: string[]
  /** Directory for a log file of each process; without it they write to the test's standard error. */
  logDirectory?: string
}
