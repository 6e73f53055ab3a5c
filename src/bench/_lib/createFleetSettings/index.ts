import { createHash } from 'node:crypto'

interface FleetSize {
  accounts: number
  targets: number
  services: number
  zones: number
}

/**
 * Creates the settings of a fleet by path: teams of 100 accounts each, and services and targets spread evenly over the
 * availability zones.
 */
export function createFleetSettings ({ accounts, targets, services, zones }: FleetSize): Array<[path: string, value: object]> {
  const entries: Array<[string, object]> = []
  for (let index = 0; index < services; index++) entries.push([`/teams/models/services/model-${index}`, { kind: 'completion' }])
  for (let index = 0; index < targets; index++) {
    const value = { service: `model-${index % services}`, zone: `zone-${index % zones}`, url: `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`, slots: 8 }
    entries.push([`/teams/models/targets/runner-${index}`, value])
  }
  for (let index = 0; index < accounts; index++) {
    const keyHashes = [createHash('sha256').update(`key-${index}`).digest('hex')]
    entries.push([`/teams/team-${Math.floor(index / 100)}/accounts/account-${index}`, { keyHashes, weight: 1, services: [`model-${index % services}`] }])
  }
  return entries
}
