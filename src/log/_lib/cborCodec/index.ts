import { Encoder } from 'cbor-x'

/** CBOR codec of the log's records, snapshots and commands. */
export const cborCodec = new Encoder({ useRecords: false, mapsAsObjects: true })
