import { ControlCluster } from '../../../../test/_lib/ControlCluster'
import { FetchLogReply } from '../../../contract/FetchLogReply'
import { computeQuantile } from '../../_lib/computeQuantile'
import { createMachineNote } from '../../_lib/createMachineNote'
import { measureSyncLatencies } from '../../_lib/measureSyncLatencies'
import type { Experiment } from '../../Experiment'
import type { ExperimentReport } from '../../ExperimentReport'

const REPLICAS = 3
const ELECTIONS = 10
const CHANGES = 300
const OBSERVERS = 9
const RESTART_CHANGES = 10_000
const CONCURRENT_CHANGES = 200
const MAX_ELECTION_MS = 2_000
const MAX_PROPAGATION_MS = 1_000
const MAX_RESTART_MS = 1_000
const POLL_MS = 5

type Row = [name: string, count: number, p50: string, p99: string, max: string]

function createRow (name: string, values: number[]): Row {
  const format = (value: number): string => `${value.toFixed(2)} ms`
  return [name, values.length, format(computeQuantile(values, 0.5)), format(computeQuantile(values, 0.99)), format(Math.max(...values))]
}

async function measureTime (run: () => Promise<unknown>): Promise<number> {
  const startMs = performance.now()
  await run()
  return performance.now() - startMs
}

async function measureRepeated (count: number, run: (index: number) => Promise<unknown>): Promise<number[]> {
  const durations: number[] = []
  for (let i = 0; i < count; i++) durations.push(await measureTime(() => run(i)))
  return durations
}

/** Measures the time from the kill of a leader until another replica leads. */
async function measureElections (cluster: ControlCluster): Promise<number[]> {
  const durations: number[] = []
  for (let i = 0; i < ELECTIONS; i++) {
    const leader = await cluster.waitForLeader()
    const others = [...cluster.links.keys()].filter(index => index !== leader)
    const startMs = performance.now()
    await cluster.kill(leader)
    await cluster.waitFor(async () => {
      const statuses = await Promise.all(others.map(index => cluster.getStatus(index)))
      return statuses.some(status => status?.role === 'leader')
    }, POLL_MS)
    durations.push(performance.now() - startMs)
    await cluster.startReplica(leader)
    await cluster.waitForReplication()
  }
  return durations
}

/**
 * Measures the time from the proposal of a change until all nine observers, three per replica, have fetched it by long
 * poll.
 */
async function measurePropagation (cluster: ControlCluster): Promise<number[]> {
  const offsets = Array.from({ length: OBSERVERS }, () => 0)
  const stop = new AbortController()
  const fetchUntilStopped = async (observer: number): Promise<void> => {
    while (!stop.signal.aborted) {
      const body = { offset: offsets[observer], waitMs: 500, maxEntries: 1_000 }
      const reply = FetchLogReply.parse(await cluster.request(observer % REPLICAS, 'fetchLog', body))
      offsets[observer] = Math.max(offsets[observer], reply.snapshot?.offset ?? 0, reply.entries.at(-1)?.offset ?? 0)
    }
  }
  const running = offsets.map((_offset, observer) => fetchUntilStopped(observer))
  const durations = await measureRepeated(CHANGES, async index => {
    const result = await cluster.proposeChange(`effect-${index}`)
    const offset = result.status === 'accepted' ? result.offset : NaN
    await cluster.waitFor(async () => offsets.every(seen => seen >= offset), 0)
  })
  stop.abort()
  await Promise.all(running)
  return durations
}

/**
 * Measures restarts after many changes: of one replica until it has printed its addresses (`oneStartedMs`) and until
 * the leader sees no lag (`oneCaughtUpMs`), and of all replicas until the first confirmed read (`allConfirmedMs`).
 */
async function measureRestart (cluster: ControlCluster): Promise<{ oneCaughtUpMs: number, oneStartedMs: number, allConfirmedMs: number }> {
  for (let done = 0; done < RESTART_CHANGES; done += CONCURRENT_CHANGES) {
    await Promise.all(Array.from({ length: CONCURRENT_CHANGES }, (_, i) => cluster.proposeChange(`restart-${done + i}`)))
  }
  const follower = (await cluster.waitForLeader() + 1) % REPLICAS
  await cluster.kill(follower)
  const startMs = performance.now()
  await cluster.startReplica(follower)
  const oneStartedMs = performance.now() - startMs
  await cluster.waitForReplication()
  const oneCaughtUpMs = performance.now() - startMs
  await Promise.all([...cluster.links.keys()].map(index => cluster.kill(index)))
  const allConfirmedMs = await measureTime(async () => {
    await Promise.all([...cluster.links.keys()].map(index => cluster.startReplica(index)))
    await cluster.waitFor(async () => cluster.tryConfirmRead(), POLL_MS)
  })
  return { oneCaughtUpMs, oneStartedMs, allConfirmedMs }
}

async function measureState (cluster: ControlCluster): Promise<ExperimentReport> {
  const leader = await cluster.waitForLeader()
  await cluster.waitForReplication()
  const link = cluster.links[leader]
  await measureRepeated(50, i => link.request('propose', cluster.createProposal(`warm-up-${i}`)))
  const syncs = await measureSyncLatencies(cluster.directory, CHANGES)
  const roundTrips = await measureRepeated(CHANGES, () => link.request('ping', null))
  const commits = await measureRepeated(CHANGES, i => link.request('propose', cluster.createProposal(`commit-${i}`)))
  const propagations = await measurePropagation(cluster)
  const elections = await measureElections(cluster)
  const restart = await measureRestart(cluster)
  const [sync, roundTrip, commit] = [syncs, roundTrips, commits].map(values => computeQuantile(values, 0.5))
  const commitBound = 3 * sync + roundTrip
  const [propagation, election] = [computeQuantile(propagations, 0.99), Math.max(...elections)]
  return {
    title: 'State: the replicated log',
    tables: [{
      title: 'Times',
      columns: ['what', 'count', 'p50', 'p99', 'maximum'],
      rows: [
        createRow('one write of 300 bytes with one sync', syncs),
        createRow('one round trip on a link to the leader', roundTrips),
        createRow('commit of one change, seen by the proposer', commits),
        createRow('change proposed until nine observers have it', propagations),
        createRow('kill -9 of the leader until another one leads', elections),
        createRow(`start of one replica after ${RESTART_CHANGES} changes until it prints its addresses`, [restart.oneStartedMs]),
        createRow(`start of one replica after ${RESTART_CHANGES} changes until its lag is 0`, [restart.oneCaughtUpMs]),
        createRow(`start of all replicas after ${RESTART_CHANGES} changes until a confirmed read`, [restart.allConfirmedMs])
      ]
    }],
    objectives: [
      { name: 'M7 new leader after a kill', bound: `${MAX_ELECTION_MS} ms`, measured: `${election.toFixed(0)} ms (maximum of ${ELECTIONS})`, isMet: election <= MAX_ELECTION_MS },
      { name: 'M7 change seen by nine observers, p99', bound: `${MAX_PROPAGATION_MS} ms`, measured: `${propagation.toFixed(1)} ms`, isMet: propagation <= MAX_PROPAGATION_MS },
      { name: 'M7 restart after 10,000 changes', bound: `${MAX_RESTART_MS} ms`, measured: `${restart.oneCaughtUpMs.toFixed(0)} ms (one replica)`, isMet: restart.oneCaughtUpMs <= MAX_RESTART_MS },
      { name: 'M7 commit latency, median', bound: `3 x one sync + one round trip = ${commitBound.toFixed(2)} ms`, measured: `${commit.toFixed(2)} ms`, isMet: commit <= commitBound }
    ],
    notes: [
      'Three control processes, the proposer and the observers run on one machine over loopback addresses; syncs, round trips and commits are measured one after another in the same run.',
      'Each start of a process includes starting Node.js and loading the bundle; the start of all replicas also includes an election.',
      createMachineNote()
    ]
  }
}

/** Objective M7: elections, commits, propagation of changes, and restarts. */
export const state: Experiment = {
  name: 'state',
  measure: async () => {
    const cluster = await ControlCluster.start(REPLICAS, { snapshotEvery: 1_000 })
    try {
      return await measureState(cluster)
    } finally {
      await cluster.close()
    }
  }
}
