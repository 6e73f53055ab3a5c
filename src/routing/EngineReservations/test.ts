import { EngineReservations } from '.'

describe('EngineReservations', () => {
  it('makes a reserved engine unavailable to accounts with clearly more use, and to no others', () => {
    const reservations = new EngineReservations()
    reservations.add('t1', 1_000)
    expect([reservations.isAvailable('t1', 500), reservations.isAvailable('t1', 2_200), reservations.isAvailable('t1', 2_400), reservations.isAvailable('t2', 9_000)]).toEqual([true, true, false, true])
  })

  it('keeps the reservation of the account with the least use until all are cleared', () => {
    const reservations = new EngineReservations()
    reservations.add('t1', 1_000)
    reservations.add('t1', 4_000)
    expect(reservations.isAvailable('t1', 2_500)).toBe(false)
    reservations.clear()
    expect(reservations.isAvailable('t1', 2_000)).toBe(true)
  })
})
