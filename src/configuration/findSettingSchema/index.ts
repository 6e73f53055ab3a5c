import type { z } from 'zod'
import { ClientAccount } from '../../contract/ClientAccount'
import { MaintenanceWindow } from '../../contract/MaintenanceWindow'
import { Operator } from '../../contract/Operator'
import { Service } from '../../contract/Service'
import { Target } from '../../contract/Target'
import { TargetDrain } from '../../contract/TargetDrain'
import { WeightStore } from '../../contract/WeightStore'

const NAME = '[a-z0-9][a-z0-9.-]{0,62}'
const schemas: ReadonlyArray<[RegExp, z.ZodType]> = [
  [/^\/fleet\/weightStore$/, WeightStore],
  [new RegExp(`^/fleet/operators/${NAME}$`), Operator],
  [new RegExp(`^/teams/${NAME}/accounts/${NAME}$`), ClientAccount],
  [new RegExp(`^/teams/${NAME}/services/${NAME}$`), Service],
  [new RegExp(`^/teams/${NAME}/targets/${NAME}$`), Target],
  [new RegExp(`^/teams/${NAME}/windows/${NAME}$`), MaintenanceWindow],
  [new RegExp(`^/teams/${NAME}/drains/${NAME}$`), TargetDrain]
]

/**
 * @name findSettingSchema
 * @category Configuration
 * @summary The schema of the value at a path.
 *
 * @param path - Path of a setting.
 * @returns The schema, or undefined if no setting has this path.
 *
 * @example
 * findSettingSchema('/teams/sales/accounts/quotes') // ClientAccount
 */
export function findSettingSchema (path: string): z.ZodType | undefined {
  return schemas.find(([pattern]) => pattern.test(path))?.[1]
}
