import { mkdirSync, writeFileSync } from 'node:fs'
import { experiments } from './experiments'
import { renderReport } from './renderReport'

const DEFAULT_SEED = 20_261_204
const DIRECTORY = 'docs/measurements'

async function runBench (names: string[], seed: number, commit: string): Promise<void> {
  const selected = experiments.filter(experiment => names.length === 0 || names.includes(experiment.name))
  if (selected.length === 0) throw new Error(`Unknown experiment; known: ${experiments.map(experiment => experiment.name).join(', ')}`)
  mkdirSync(DIRECTORY, { recursive: true })
  for (const experiment of selected) {
    const report = await experiment.measure({ seed })
    const page = renderReport(report, { command: `npm run bench -- ${experiment.name}`, seed, commit })
    writeFileSync(`${DIRECTORY}/${experiment.name}.md`, page)
    process.stdout.write(page)
  }
}

const names = process.argv.slice(2).filter(argument => !argument.startsWith('--'))
const seedFlag = process.argv.find(argument => argument.startsWith('--seed='))
runBench(names, seedFlag ? Number(seedFlag.slice(7)) : DEFAULT_SEED, process.env.PAPAYALEAD_COMMIT ?? 'unknown')
  .then(() => process.exit(), error => {
    process.stderr.write(`${String(error?.stack ?? error)}\n`)
    process.exit(1)
  })
