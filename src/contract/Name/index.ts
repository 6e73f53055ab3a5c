import { z } from 'zod'

/**
 * @name Name
 * @category Contract
 * @summary Name of an account, team, service, target, instance or zone.
 *
 * @description
 * Lower-case letters, digits, dots and hyphens; at most 63 characters; starts with a letter or digit.
 *
 * @example
 * Name.parse('bp-csepel')
 */
export const Name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected at most 63 lower-case letters, digits, dots and hyphens, starting with a letter or digit')
export type Name = z.infer<typeof Name>
