import { BookingSettings } from '../BookingSettings'
import { startBooking } from '.'

describe('the booking stand-in', () => {
  it.each([
    ['resetBeforeRate', 0, 'lost'], ['resetAfterRate', 1, 'lost'], ['truncateRate', 1, 'lost'], ['neverRate', 1, 'lost'], ['lateRate', 1, 201]
  ])('with %s records %i run and the caller sees %s, so that a wrong outcome of the router is caught', async (rate, runs, seen) => {
    const booking = await startBooking({ host: '127.0.0.1', port: 0 }, BookingSettings.parse({ [rate]: 1, lateMs: 5 }))
    const url = `http://127.0.0.1:${booking.address.port}`
    const send = async (): Promise<number | string> => {
      const response = await fetch(`${url}/bookings`, { method: 'POST', headers: { 'idempotency-key': 'k1' }, body: '{"pool":7}', signal: AbortSignal.timeout(200) })
      await response.text()
      return response.status
    }
    expect(await send().catch(() => 'lost')).toBe(seen)
    const record = await (await fetch(`${url}/record`)).json() as object[]
    expect(record).toHaveLength(runs)
    for (const run of record) expect(run).toMatchObject({ idempotencyKey: 'k1', body: { pool: 7 } })
    await booking.close()
  })
})
