import { EngineReservations } from '.'

describe('EngineReservations', () => {
  it('makes a reserved engine unavailable to accounts with clearly more service, and to no others', () => {
    const reservations = new EngineReservations()
    reservations.add('t1', 100_000)
    expect([reservations.isAvailable('t1', 50_000), reservations.isAvailable('t1', 155_000), reservations.isAvailable('t1', 165_000), reservations.isAvailable('t2', 900_000)]).toEqual([true, true, false, true])
  })

  it('keeps the reservation of the account with the least service until all are cleared', () => {
    const reservations = new EngineReservations()
    reservations.add('t1', 100_000)
    reservations.add('t1', 400_000)
    expect(reservations.isAvailable('t1', 250_000)).toBe(false)
    reservations.clear()
    expect(reservations.isAvailable('t1', 200_000)).toBe(true)
  })
})
