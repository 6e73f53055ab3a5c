import type { z } from 'zod'
import { ClientAccount } from '../../contract/ClientAccount'
import { MaintenanceWindow } from '../../contract/MaintenanceWindow'
import { Operator } from '../../contract/Operator'
import { Service } from '../../contract/Service'
import { Target } from '../../contract/Target'
import { TargetDrain } from '../../contract/TargetDrain'
import { WeightStore } from '../../contract/WeightStore'

const NAME_PATTERN = '[a-z0-9][a-z0-9.-]{0,62}'
const schemas: ReadonlyArray<[RegExp, z.ZodType]> = [
  [/^\/fleet\/weightStore$/, WeightStore],
  [new RegExp(`^/fleet/operators/${NAME_PATTERN}$`), Operator],
  [new RegExp(`^/teams/${NAME_PATTERN}/accounts/${NAME_PATTERN}$`), ClientAccount],
  [new RegExp(`^/teams/${NAME_PATTERN}/services/${NAME_PATTERN}$`), Service],
  [new RegExp(`^/teams/${NAME_PATTERN}/targets/${NAME_PATTERN}$`), Target],
  [new RegExp(`^/teams/${NAME_PATTERN}/windows/${NAME_PATTERN}$`), MaintenanceWindow],
  [new RegExp(`^/teams/${NAME_PATTERN}/drains/${NAME_PATTERN}$`), TargetDrain]
]

/**
 * @name findSettingSchema
 * @category Configuration
 * @summary Finds the schema for the value of the setting at a path.
 *
 * @param path - Path of a setting.
 * @returns The schema, or undefined if no setting can have this path.
 *
 * @example
 * findSettingSchema('/teams/sales/accounts/quotes') // ClientAccount
 */
export function findSettingSchema (path: string): z.ZodType | undefined {
  return schemas.find(([pattern]) => pattern.test(path))?.[1]
}
