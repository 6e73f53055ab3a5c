import type { PromptQuarantine } from '../..'

/** What a simulated day needs of a quarantine. */
export type CrashPolicy = Pick<PromptQuarantine, 'recordCrash' | 'recordAnswer' | 'findBlocked' | 'recordPlacement'>
