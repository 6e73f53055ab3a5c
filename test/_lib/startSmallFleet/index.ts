import { createHash } from 'node:crypto'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProcess } from '../startProcess'

interface SmallFleet {
  controlUrl: string
  routerUrl: string
  controlLink: { host: string, port: number }
  /** Sends a request to the operator API. */
  callControl: (path: string, body?: object, token?: string) => Promise<{ status: number, body: any }>
  /** Sets values by path in one change for each path. */
  set: (values: Record<string, unknown>) => Promise<void>
  stop: () => Promise<void>
}

const CLUSTER_KEY = 'cluster-key-for-tests'
const TOKEN = 'operator-token-for-tests'
const listen = { host: '127.0.0.1', port: 0 }

/** Starts one control process and one router. Settings of the router can be replaced. */
export async function startSmallFleet (routerSettings: object = {}): Promise<SmallFleet> {
  const dataDir = mkdtempSync(join(tmpdir(), 'papayalead-data-'))
  const common = { zone: 'z1', http: listen, link: listen, clusterKey: CLUSTER_KEY }
  const control = await startProcess(['control'], { ...common, instance: 'c1', replicas: [], dataDir })
  const router = await startProcess(['router'], { ...common, instance: 'r1', lameDuckMs: 0, control: [{ instance: 'c1', zone: 'z1', ...control.ready.link }], ...routerSettings })
  const controlUrl = `http://127.0.0.1:${control.ready.http.port}`
  const callControl: SmallFleet['callControl'] = async (path, body, token = TOKEN) => {
    const response = await fetch(controlUrl + path, { method: body ? 'POST' : 'GET', body: body && JSON.stringify(body), headers: { authorization: `Bearer ${token}` } })
    return { status: response.status, body: await response.json() }
  }
  const set = async (values: Record<string, unknown>): Promise<void> => {
    for (const [path, value] of Object.entries(values)) {
      const { status, body } = await callControl('/v1/changes?waitMs=5000', { operations: [{ path, value }] })
      if (status !== 200) throw new Error(`${path}: ${JSON.stringify(body)}`)
    }
  }
  const stop = async (): Promise<void> => { await Promise.all([router.stop(), control.stop()]) }
  return { controlUrl, routerUrl: `http://127.0.0.1:${router.ready.http.port}`, controlLink: control.ready.link, callControl, set, stop }
}

startSmallFleet.hash = (secret: string): string => createHash('sha256').update(secret).digest('hex')
